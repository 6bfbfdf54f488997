"""Tests of the usage reports: counting, collecting and reporting, under faults."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import random
import typing as t

import looptime
import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bergamotmast.adapters.restores import RestoreTracker
from bergamotmast.direct.fenced_call import FencedReply
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.presence import presence_key
from bergamotmast.direct.unix_clock import UnixClock
from bergamotmast.direct.usage_exchange import UsageExchange
from bergamotmast.direct.usage_record import USAGE_KEY
from bergamotmast.direct.usage_record import UsageRecord
from bergamotmast.direct.usage_record import UsageRecordStore
from bergamotmast.direct.usage_reporter import MAX_RETRY_DELAY_SECONDS
from bergamotmast.direct.usage_reporter import UsageReport
from bergamotmast.direct.usage_reporter import UsageReporter
from bergamotmast.errors import KeyValueOutcomeUnknownError
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.errors import LeadershipLostError
from bergamotmast.errors import PortError
from bergamotmast.errors import ReplyLostError
from bergamotmast.platform.usage import PlatformUsage
from bergamotmast.policy.usage_ledger import Source
from bergamotmast.policy.usage_ledger import UsageLedger
from bergamotmast.ports import KeyValue
from bergamotmast.ports import TxnResult
from bergamotmast.telemetry import NullTelemetry
from direct_support import ROUTES
from direct_support import config
from direct_support import engine
from direct_support import serving
from duty_support import HOLDER
from duty_support import TOKEN
from duty_support import HeldLease
from duty_support import StoredRecord
from duty_support import call_platform
from duty_support import check_call
from duty_support import each_status
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import answer
from platform_standin import not_run
from platform_standin import reset

START = 1_779_541_400.0
"""System time at the start of each test, the beginning of a window."""

WINDOW = 5.0
FIRST = int(START // WINDOW)


class Network:
    """Entries that exchange counts by datagrams, some of which are lost.

    :param down: names of the entries that neither send nor receive.
    :param loss: share of datagrams that is lost.
    :param ahead: seconds by which the clocks of entries are ahead, by name.
    """

    def __init__(
        self,
        names: t.Iterable[str],
        loss: float = 0.0,
        ahead: t.Mapping[str, float] | None = None,
    ) -> None:
        self.ahead = ahead or {}
        self.entries = {presence_key(name): (name, 1) for name in names}
        self.inboxes: dict[str, PeerInbox] = {}
        self.exchanges: dict[str, UsageExchange] = {}
        self.down: set[str] = set()
        self.loss = loss
        self.sent = 0
        self.rng = random.Random(1)
        for number, name in enumerate(names):
            self.start(name, number)

    def start(self, name: str, boot: int) -> UsageExchange:
        loop = asyncio.get_running_loop()

        def send(data: bytes, address: tuple[str, int]) -> None:
            self.sent += 1
            if {name, address[0]} & self.down or self.rng.random() < self.loss:
                return
            inbox = self.inboxes[address[0]]
            loop.call_later(0.002, inbox.receive, data, (name, 1))

        ahead = self.ahead.get(name, 0.0)
        clock = UnixClock(loop.time, lambda: START + loop.time() + ahead)
        exchange = UsageExchange(
            Source(name, boot), UsageLedger(WINDOW), clock, lambda: self.entries, send
        )
        self.inboxes[name] = PeerInbox()
        exchange.listen(self.inboxes[name])
        self.exchanges[name] = exchange
        return exchange

    def count(self, name: str, tenant: str, times: int = 1) -> None:
        for _ in range(times):
            now = asyncio.get_running_loop().time()
            self.exchanges[name].on_begun(tenant, now)


class Service(StoredRecord):
    """A key-value service and a platform whose calls follow a script of faults.

    :param fates: fate of each call in turn: ``ok``; ``lost`` before it is executed;
        ``unanswered``, executed without a reply; or ``late``, executed some seconds
        later without a reply.
    :param arrived: the reports that the platform has executed, in order.
    :param restores: the restores of the service, as all processes know them.
    """

    def __init__(self, fates: t.Iterable[str] = ()) -> None:
        super().__init__(USAGE_KEY)
        self.restores = RestoreTracker()
        self.fates = iter(fates)
        self.highest_token = 0
        self.arrived: list[UsageReport] = []
        self.accepted: dict[int, dict[str, int]] = {}

    async def _call(
        self, execute: t.Callable[[], t.Any], error: type[PortError]
    ) -> t.Any:
        await asyncio.sleep(0.004)
        fate = next(self.fates, "ok")
        if fate == "ok":
            return execute()
        if fate == "unanswered":
            execute()
        if fate == "late":
            asyncio.get_running_loop().call_later(4.0, execute)
        await asyncio.sleep(1.0)
        raise error("no reply")

    async def get(self, key: str) -> KeyValue | None:
        item = await self._call(lambda: self.read(key), KeyValueUnavailableError)
        return t.cast(KeyValue | None, item)

    async def txn(self, compares: t.Any, writes: t.Any) -> TxnResult:
        result = await self._call(
            lambda: self.write(compares, writes), KeyValueOutcomeUnknownError
        )
        return t.cast(TxnResult, result)

    async def report(self, report: UsageReport) -> FencedReply:
        def execute() -> FencedReply:
            if report.token < self.highest_token:
                return FencedReply.FENCED
            self.highest_token = report.token
            self.arrived.append(report)
            self.accepted.setdefault(report.window, report.counts)
            return FencedReply.ACCEPTED

        return t.cast(FencedReply, await self._call(execute, ReplyLostError))


def reporter(
    service: Service, network: Network, name: str, hold_off: float = 3.0
) -> UsageReporter:
    rng = random.Random(7)
    return UsageReporter(
        name,
        HeldLease(),
        UsageRecordStore(t.cast(t.Any, service), rng, service.restores),
        network.exchanges[name],
        service,
        hold_off,
        10.0,
        rng,
        NullTelemetry(),
    )


@pytest.mark.looptime
async def test_each_window_is_reported_once_with_the_counts_of_all_entries():
    network, service = Network("abc"), Service()
    holder = asyncio.create_task(reporter(service, network, "b").run(7))
    expected: dict[int, collections.Counter] = {}
    for second in range(32):
        for number, name in enumerate("abc"):
            tenant = f"t{(second + number) % 4}"
            network.count(name, tenant, number + 1)
            window = FIRST + second // 5
            expected.setdefault(window, collections.Counter())[tenant] += number + 1
        await asyncio.sleep(1.0)
    holder.cancel()
    windows = [report.window for report in service.arrived]
    assert windows == [FIRST + n for n in range(6)]
    assert all(r.counts == expected[r.window] for r in service.arrived)
    assert {(r.holder, r.token) for r in service.arrived} == {("b", 7)}


@pytest.mark.looptime
async def test_nothing_is_reported_before_the_first_request():
    """Guards against paid calls while a new installation has no callers."""
    network, service = Network("ab"), Service()
    holder = asyncio.create_task(reporter(service, network, "a").run(1))
    await asyncio.sleep(21.0)
    network.count("b", "t")
    await asyncio.sleep(6.0)
    holder.cancel()
    assert [(r.window, r.counts) for r in service.arrived] == [(FIRST + 4, {"t": 1})]


@pytest.mark.looptime
async def test_counts_of_a_killed_entry_survive():
    """Guards against lost usage when an entry is killed within a window."""
    network, service = Network("abcd"), Service()
    tasks = [asyncio.create_task(e.run()) for e in network.exchanges.values()]
    holder = asyncio.create_task(reporter(service, network, "a").run(1))
    await asyncio.sleep(0.5)
    network.count("c", "t", 30)
    await asyncio.sleep(2.0)
    network.start("c", 99)
    network.count("c", "t", 5)
    network.down.add("d")
    await asyncio.sleep(10.0)
    holder.cancel()
    for task in tasks:
        task.cancel()
    assert service.accepted[FIRST] == {"t": 35}


@pytest.mark.looptime
async def test_silent_entry_does_not_delay_a_report_past_its_time():
    network, service = Network("abc"), Service()
    holder = asyncio.create_task(reporter(service, network, "a").run(1))
    network.count("a", "t", 3)
    network.down.add("c")
    await asyncio.sleep(WINDOW + 9.9)
    holder.cancel()
    assert service.accepted[FIRST] == {"t": 3}


@pytest.mark.looptime
async def test_new_holder_waits_for_the_counts_of_windows_that_ended_long_ago():
    """Guards against windows that are set without the other entries' answers.

    The former holder was killed, and its lease ran out after the time for collecting.
    """
    network, service = Network("abc"), Service()
    for name in "abc":
        network.count(name, "t", 10)
    await asyncio.sleep(WINDOW + 8.0)
    holder = asyncio.create_task(reporter(service, network, "b", 1.0).run(2))
    await asyncio.sleep(3.0)
    holder.cancel()
    assert service.accepted[FIRST] == {"t": 30}


@pytest.mark.looptime
async def test_restarted_holder_reports_the_windows_before_its_start():
    """Guards against windows that nobody reports, as the holder was killed."""
    network, service = Network("ab"), Service()
    first = asyncio.create_task(reporter(service, network, "a").run(1))
    network.count("b", "t", 10)
    await asyncio.sleep(WINDOW + 1.5)
    first.cancel()
    network.count("b", "t", 20)
    await asyncio.sleep(WINDOW)
    network.start("a", 99)
    second = asyncio.create_task(reporter(service, network, "a", 1.0).run(2))
    await asyncio.sleep(4.0)
    second.cancel()
    assert service.accepted == {FIRST: {"t": 10}, FIRST + 1: {"t": 20}}


@pytest.mark.looptime
async def test_ended_entry_hands_over_all_that_it_knows():
    """Guards against lost counts when entries are restarted one after the other."""
    network, service = Network("abcd"), Service()
    network.count("a", "t", 10)
    network.exchanges["a"].hand_over()
    await asyncio.sleep(0.1)
    network.down.add("a")
    network.exchanges["b"].hand_over()
    await asyncio.sleep(0.1)
    network.down.add("b")
    holder = asyncio.create_task(reporter(service, network, "d").run(1))
    await asyncio.sleep(WINDOW + 9.0)
    holder.cancel()
    assert service.accepted[FIRST] == {"t": 10}


@pytest.mark.looptime
async def test_lost_datagrams_lose_no_counts():
    names = [f"e{number}" for number in range(12)]
    network, service = Network(names, loss=0.3), Service()
    holder = asyncio.create_task(reporter(service, network, "e3").run(1))
    tenants = {f"tenant-{number}": number + 1 for number in range(150)}
    for name in names:
        for tenant, times in tenants.items():
            network.count(name, tenant, times)
    await asyncio.sleep(WINDOW + 9.0)
    holder.cancel()
    assert service.accepted[FIRST] == {k: 12 * v for k, v in tenants.items()}


@pytest.mark.looptime
@pytest.mark.parametrize("entries", [10, 40])
async def test_messages_grow_with_the_number_of_entries(entries):
    """Guards against messages from all entries to all others."""
    names = [f"e{number}" for number in range(entries)]
    network, service = Network(names), Service()
    tasks = [asyncio.create_task(e.run()) for e in network.exchanges.values()]
    holder = asyncio.create_task(reporter(service, network, "e0").run(1))
    for _ in range(20):
        for name in names:
            network.count(name, "t")
        await asyncio.sleep(1.0)
    for task in (holder, *tasks):
        task.cancel()
    assert service.accepted[FIRST] == {"t": 5 * entries}
    assert network.sent <= 20 * entries * 4


@pytest.mark.looptime
async def test_new_holder_waits_before_its_first_report():
    """Guards against two holders that report in turns within the lease's time."""
    network, service = Network("ab"), Service()
    first = asyncio.create_task(reporter(service, network, "a").run(1))
    network.count("a", "t")
    await asyncio.sleep(6.5)
    first.cancel()
    began = asyncio.get_running_loop().time()
    second = asyncio.create_task(reporter(service, network, "b").run(2))
    network.count("b", "t")
    while len(service.arrived) < 2:
        await asyncio.sleep(0.05)
    second.cancel()
    assert asyncio.get_running_loop().time() - began >= 3.0
    assert [r.token for r in service.arrived] == [1, 2]


@pytest.mark.looptime
async def test_holder_without_a_valid_lease_reports_nothing():
    """Guards against a holder that was suspended and acts on what it believed."""
    network, service = Network("a"), Service()
    frozen = reporter(service, network, "a")
    network.count("a", "t")
    running = asyncio.create_task(frozen.run(1))
    await asyncio.sleep(5.5)
    frozen.lease.lease_is_valid = False
    with pytest.raises(LeadershipLostError, match="may have lapsed"):
        await running
    assert service.arrived == []


MAX_FATES = 40

FATES = st.lists(
    st.sampled_from(["ok", "ok", "lost", "unanswered", "late"]), max_size=MAX_FATES
)

FAULTS_SECONDS = MAX_FATES * (1.0 + MAX_RETRY_DELAY_SECONDS)
"""Time after which no call has a fault: each of them takes a second and a delay."""

TERMS = st.integers(0, 90).map(lambda tenths: tenths / 10)
"""Seconds for which a holder lives."""


@settings(deadline=None, max_examples=40)
@given(FATES, st.lists(TERMS, min_size=1, max_size=6), st.booleans())
def test_no_window_has_two_reports_with_different_counts(fates, terms, frozen):
    """Holders stop at any point; calls are lost, unanswered or carried out late."""

    async def play() -> None:
        network, service = Network("ab"), Service(fates)
        running: list[asyncio.Task[None]] = []
        epochs = itertools.count(1)

        async def hold(holder: UsageReporter) -> None:
            while True:
                with contextlib.suppress(LeadershipLostError, PortError):
                    await holder.run(next(epochs))
                await asyncio.sleep(1.0)

        for number, seconds in enumerate([*terms, 25.0]):
            holder = reporter(service, network, "ab"[number % 2])
            running.append(asyncio.create_task(hold(holder)))
            until = asyncio.get_running_loop().time() + seconds
            # With many faults in turn, even the last holder's first report comes later.
            latest = until + (FAULTS_SECONDS if number == len(terms) else 0.0)
            while (now := asyncio.get_running_loop().time()) < until or (
                now < latest and not service.arrived
            ):
                network.count("a", "t")
                network.count("b", "t")
                await asyncio.sleep(1.0)
            if not frozen:
                # Otherwise the former holder goes on beside the next one.
                running[-1].cancel()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await asyncio.sleep(5.0)
        check(service)

    def check(service: Service) -> None:
        by_window: dict[int, set[str]] = {}
        holders: dict[int, set[str]] = {}
        for report in service.arrived:
            counts = msgspec.json.encode(report.counts, order="sorted").decode()
            by_window.setdefault(report.window, set()).add(counts)
            holders.setdefault(report.token, set()).add(report.holder)
        assert all(len(counts) == 1 for counts in by_window.values())
        assert all(len(names) == 1 for names in holders.values())
        assert service.arrived

    loop = looptime.new_event_loop(start=0.0)
    try:
        loop.run_until_complete(play())
    finally:
        loop.close()


@pytest.mark.looptime
async def test_late_write_of_a_former_holder_is_adopted_or_void():
    """Guards against a record that is overwritten after its window was reported."""
    network, service = Network("ab"), Service(["ok", "late"])
    network.count("a", "t")
    first = asyncio.create_task(reporter(service, network, "a").run(1))
    await asyncio.sleep(6.2)
    first.cancel()
    network.count("b", "t")
    second = asyncio.create_task(reporter(service, network, "b").run(2))
    await asyncio.sleep(8.0)
    second.cancel()
    record = msgspec.json.decode(service.value, type=UsageRecord)
    assert record.holder == "b"
    assert service.accepted[FIRST] == {"t": 1}
    assert len({str(r.counts) for r in service.arrived if r.window == FIRST}) == 1


@pytest.mark.looptime
async def test_restored_record_does_not_allow_a_second_report():
    """Guards against a window that is set again after a restore of the store."""
    network, service = Network("a"), Service()
    duty = reporter(service, network, "a")
    network.count("a", "t")
    running = asyncio.create_task(duty.run(1))
    await asyncio.sleep(6.5)
    running.cancel()
    network.count("a", "t")
    service.value, service.revision = None, 0
    running = asyncio.create_task(duty.run(2))
    await asyncio.sleep(10.0)
    running.cancel()
    assert [r.window for r in service.arrived].count(FIRST) == 1


async def play_restore(
    restored_at: float, copy_age: float, killed: str, away_seconds: float = 0.3
) -> Service:
    """Report as "a", restore the service, and go on as "b", which saw no record before.

    Both count a request a second.

    :param copy_age: age in seconds of the copy that the service comes back from.
    :param killed: names of the entries whose counts are gone.
    :param away_seconds: time until the restored service first answers.
    """
    network, service = Network("ab"), Service()
    service.restores.record(0)
    copies: list[tuple[bytes | None, int]] = []
    running = asyncio.create_task(reporter(service, network, "a").run(1))
    for _ in range(int(restored_at / 0.1)):
        copies.append((service.value, service.revision))
        if len(copies) % 10 == 0:
            network.count("a", "t")
            network.count("b", "t")
        await asyncio.sleep(0.1)
    running.cancel()
    service.value, service.revision = copies[-min(len(copies), int(copy_age / 0.1))]
    for number, name in enumerate(killed, start=7):
        network.start(name, number)
    await asyncio.sleep(away_seconds)
    service.restores.record(1)
    running = asyncio.create_task(reporter(service, network, "b").run(1_000_000))
    for _ in range(30):
        network.count("b", "t")
        await asyncio.sleep(1.0)
    running.cancel()
    return service


@pytest.mark.looptime
@pytest.mark.parametrize("restored_at", [6.1, 6.5, 9.9, 11.2, 12.0, 16.3])
@pytest.mark.parametrize("copy_age", [0.2, 3.0, 6.0, 20.0])
@pytest.mark.parametrize("killed", ["", "a", "ab"])
async def test_restore_allows_no_window_with_other_counts(
    restored_at, copy_age, killed
):
    """Guards against a window that is set anew by an entry that doesn't know of it."""
    service = await play_restore(restored_at, copy_age, killed)
    windows = {report.window for report in service.arrived}
    assert len({(r.window, str(r.counts)) for r in service.arrived}) == len(windows)


@pytest.mark.looptime
@pytest.mark.parametrize("killed", ["", "ab"])
async def test_windows_that_end_after_a_restore_are_reported(killed):
    """Guards against usage that is left out for longer than it may be known already."""
    service = await play_restore(12.0, 3.0, killed)
    after = {r.window: r.counts for r in service.arrived if r.token > 1}
    assert {FIRST + 2, FIRST + 3, FIRST + 4, FIRST + 5} <= set(after)
    assert after[FIRST + 4] == {"t": 5}


@pytest.mark.looptime
async def test_restore_that_is_noticed_late_allows_no_window_with_other_counts():
    """Guards against trust in a record after an outage that ended in a restore."""
    service = await play_restore(12.0, 3.0, "ab", 7.0)
    windows = {report.window for report in service.arrived}
    assert len({(r.window, str(r.counts)) for r in service.arrived}) == len(windows)


@pytest.mark.looptime
async def test_record_of_an_era_is_used_where_the_service_no_longer_reports_any():
    """Guards against an error, or usage that is left out for ever, without eras."""
    network, service = Network("a"), Service()
    service.value = msgspec.json.encode(UsageRecord("b", 1, FIRST - 1, {}, era=7))
    service.revision = 1
    running = asyncio.create_task(reporter(service, network, "a").run(2))
    network.count("a", "t")
    await asyncio.sleep(12.0)
    running.cancel()
    assert service.accepted[FIRST] == {"t": 1}


UNREADABLE_RECORDS = [
    b"",
    b"\xff",
    b"[]",
    b'{"more":' + b"[" * 5_000,
    b'{"last_window":%d}' % 10**400,
    b'{"windows":{"%d":{"t":1}}}' % 10**400,
    b'{"windows":{"1":{"t":%d}}}' % 2**63,
]


@pytest.mark.looptime
@pytest.mark.parametrize("value", UNREADABLE_RECORDS, ids=range(7))
async def test_unreadable_record_does_not_allow_a_second_report(value):
    """Guards against a record that can't be read, taken for one of no window."""
    network, service = Network("ab"), Service()
    running = asyncio.create_task(reporter(service, network, "a").run(1))
    for _ in range(12):
        network.count("a", "t")
        network.count("b", "t")
        await asyncio.sleep(1.0)
    running.cancel()
    before = [report.window for report in service.arrived]
    assert before == [FIRST, FIRST + 1]
    written, service.value = service.value, value
    service.revision += 1
    network.down.add("a")
    running = asyncio.create_task(reporter(service, network, "b").run(2))
    await asyncio.sleep(20.0)
    counts = {(r.window, str(r.counts)) for r in service.arrived}
    assert len(counts) == len(before)
    assert [report.window for report in service.arrived] == before
    assert service.value == value
    service.value = written
    service.revision += 1
    await asyncio.sleep(10.0)
    running.cancel()
    counts = {(r.window, str(r.counts)) for r in service.arrived}
    windows = [report.window for report in service.arrived]
    # The platform ignores an exact repeat, of a window not known to be reported.
    assert len(counts) == len(set(windows)) > len(before)
    assert windows == sorted(windows)


@pytest.mark.looptime
@pytest.mark.parametrize("ahead", [12.0, 3600.0])
async def test_holder_whose_clock_is_ahead_sets_no_window_too_early(ahead):
    """Guards against windows that are set before their requests have come."""
    network, service = Network("abcd", ahead={"a": ahead}), Service()
    wrong = asyncio.create_task(reporter(service, network, "a").run(1))
    for name in "bcd":
        network.count(name, "t", 10)
    await asyncio.sleep(WINDOW + 2.0)
    wrong.cancel()
    right = asyncio.create_task(reporter(service, network, "b").run(2))
    await asyncio.sleep(8.0)
    right.cancel()
    assert service.accepted[FIRST] == {"t": 30}


def test_steps_of_the_clock_do_not_shift_windows():
    """Guards against counts in wrong windows while the system's clock is wrong."""
    now, step = 100.0, 0.0
    clock = UnixClock(lambda: now, lambda: START + now + step)
    for _ in range(60):
        now += 1.0
        clock.sample()
    step = 7.0
    for _ in range(30):
        now += 1.0
        clock.sample()
        assert clock.now() == pytest.approx(START + now)


def test_clock_that_was_wrong_at_the_start_is_corrected():
    now, step = 100.0, -4.0
    clock = UnixClock(lambda: now, lambda: START + now + step)
    assert clock.now() == pytest.approx(START + now - 4.0)
    step = 0.0
    for _ in range(3):
        now += 1.0
        clock.sample()
    assert clock.now() == pytest.approx(START + now)


DOCUMENT = config(1, ROUTES) | {"tenants": [{"name": "notaries", "api-keys": ["k"]}]}


class Counter:
    """Stands in for the exchange and keeps what is counted."""

    def __init__(self) -> None:
        self.begun: list[str] = []

    def on_begun(self, tenant: str, at: float) -> None:
        self.begun.append(tenant)


async def resets(replica: Replica, received: Received, writer: t.Any) -> None:
    reset(writer)


@pytest.mark.parametrize(
    ("replicas", "target", "requests"),
    [
        ([Replica("r", answer())], "/order/x", 1),
        ([Replica("r", answer(500))], "/order/x", 1),
        ([Replica("r", resets)], "/order/x", 1),
        ([Replica("r", not_run())], "/order/x", 0),
        ([Replica("r", not_run()), Replica("s", not_run())], "/read/x", 0),
        ([Replica("r", answer(500)), Replica("s", answer(500))], "/read/x", 1),
        ([engine("d", EngineScript())], "/talk/x", 1),
        (
            [engine("d", EngineScript()), engine("p", EngineScript(), "prefill")],
            "/long/x",
            1,
        ),
        ([engine(n, EngineScript(last=6, break_after=2)) for n in "de"], "/long/x", 1),
        ([engine("d", not_run())], "/talk/x", 0),
    ],
)
async def test_request_counts_once_it_has_begun_to_run(replicas, target, requests):
    """Guards against usage of requests that did not run, or that counts twice."""
    async with serving(*replicas, document=DOCUMENT) as entry:
        counter = entry.core.context.usage = Counter()
        await entry.ask(target, X_Api_Key="k", X_Token_Count="4000,20")
        await entry.ask(target, X_Api_Key="unknown")
    assert counter.begun == ["notaries"] * requests


@each_status
async def test_report_as_the_platform_receives_it(status, reply):
    report = UsageReport(353445120, {"a": 412}, HOLDER, TOKEN)
    got, received = await call_platform(
        status, lambda session, address: PlatformUsage(session, address).report(report)
    )
    assert got is reply
    body = {"window-id": 353445120, "counts": {"a": 412}}
    check_call(received, "/usage", body)
