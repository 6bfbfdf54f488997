"""Requests that crash the engines that run them, at entries that work through sides."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random

import pytest

from bergamotmast.crashes.quarantine import Quarantine
from bergamotmast.crashes.reader import CrashReader
from bergamotmast.crashes.records import CRASHES_PREFIX
from bergamotmast.crashes.records import CrashRecordWriter
from bergamotmast.crashes.trials import Trials
from bergamotmast.entry.fingerprint import fingerprint_of
from bergamotmast.errors import NotReachedError
from bergamotmast.errors import ReplyLostError
from bergamotmast.errors import RequestError
from bergamotmast.errors import ResultCode
from bergamotmast.policy.crash_ledger import MAX_CRASHES
from bergamotmast.ports import Delete
from bergamotmast.standins.key_value import KeyValueStandIn
from bergamotmast.telemetry import NullTelemetry
from support import STATE
from support import Fleet
from support import ScriptedEngine
from support import ScriptedService
from support import answer_of
from support import expected_text
from support import fleet

pytestmark = pytest.mark.looptime

CRASHES = "crash this engine"
RESTART_SECONDS = 2.0


class CrashingEngine(ScriptedEngine):
    """An engine that one prompt crashes; it is back some seconds later.

    :param crashes: number of crashes so far.
    :param side: its side, which reads the new incarnation as the engine is back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.crashes = 0
        self.side = None

    @property
    def current_state(self):
        return dataclasses.replace(STATE, boot_id=f"boot-{self.crashes}")

    async def state(self):
        if not self.reachable:
            raise NotReachedError("connection refused")
        return self.current_state

    async def generate(self, request):
        boot = self.crashes
        if request.prompt == CRASHES and self.reachable:
            await asyncio.sleep(0.05)
            if self.crashes == boot:
                self.crash()
            raise ReplyLostError("the engine crashed")
        async for chunk in super().generate(request):
            if self.crashes != boot:
                raise ReplyLostError("the engine crashed")
            yield chunk

    def crash(self) -> None:
        self.crashes += 1
        self.reachable = False
        asyncio.get_running_loop().call_later(RESTART_SECONDS, self.restart)

    def restart(self) -> None:
        self.reachable = True
        self.side.engine = self.current_state


class Shared:
    """A key-value service that the entries of a fleet share crashes by."""

    def __init__(self, f) -> None:
        self.kv = KeyValueStandIn(0.004)
        self.tasks = []
        for name, entry in f.entries.items():
            client, rng = self.kv.client(name), random.Random(name)
            writer = CrashRecordWriter(client, rng)
            trials = Trials(name, client)
            entry.quarantine = Quarantine(name, NullTelemetry(), rng, trials, writer)
            reader = CrashReader(client, entry.quarantine)
            for each in (writer.run(), reader.run()):
                self.tasks.append(asyncio.create_task(each))

    def stored(self) -> list[str]:
        return [i.key for i in self.kv.store.items_with_prefix(CRASHES_PREFIX)]


@contextlib.asynccontextmanager
async def crashing_fleet(entries: int, engines: int):
    """Run a fleet whose engines crash; yield it, the engines and what is shared."""
    async with contextlib.AsyncExitStack() as stack:
        built = Fleet()
        stack.push_async_callback(built.close)
        added = [CrashingEngine() for _ in range(engines)]
        for number, engine in enumerate(added, start=1):
            engine.side = built.add_upstream(f"engine-{number}", engine)
            engine.restart()
        for number in range(1, entries + 1):
            built.add_entry(f"entry-{number}")
        shared = Shared(built)
        await built.ready()
        yield built, added, shared
        for task in shared.tasks:
            task.cancel()


def culprit(f):
    return dataclasses.replace(f.model_call(5), prompt=CRASHES)


async def result_of(entry, call) -> ResultCode:
    try:
        await answer_of(entry, call)
    except RequestError as error:
        return error.code
    return ResultCode.OK


def crashes_of(engines: list[CrashingEngine]) -> int:
    return sum(engine.crashes for engine in engines)


async def test_prompt_that_crashes_engines_is_refused_at_every_entry():
    """Guards against crashing four engines with each try of a caller."""
    async with crashing_fleet(2, 6) as (f, engines, shared):
        codes = []
        for number in range(6):
            entry = f.entries[f"entry-{1 + number % 2}"]
            codes.append(await result_of(entry, culprit(f)))
            await asyncio.sleep(1.0)
        failed, refused = ResultCode.UPSTREAM_FAILED, ResultCode.QUARANTINED
        # The second entry learns of the crashes at the first one by one of its own.
        assert codes == [failed, failed] + [refused] * 4
        assert crashes_of(engines) == MAX_CRASHES + 1
        assert len(shared.stored()) == MAX_CRASHES + 1


async def test_prompts_beside_the_crashes_are_answered():
    """Guards against refusing what merely ran beside a harmful prompt."""
    async with crashing_fleet(2, 6) as (f, engines, shared):
        harmless = [
            dataclasses.replace(f.model_call(40), prompt=f"harmless {number}")
            for number in range(12)
        ]
        asked = [
            asyncio.create_task(answer_of(f.entries[f"entry-{1 + n % 2}"], call))
            for n, call in enumerate(harmless)
        ]
        await asyncio.sleep(0.5)
        assert await result_of(f.entries["entry-1"], culprit(f)) is not ResultCode.OK
        assert await asyncio.gather(*asked) == [expected_text(40)] * 12
        assert crashes_of(engines) == MAX_CRASHES
        await asyncio.sleep(1.0)
        guilty = fingerprint_of(culprit(f))
        assert all(guilty in key for key in shared.stored())


async def test_stream_that_breaks_at_a_live_engine_counts_as_no_crash():
    async with crashing_fleet(1, 4) as (f, engines, shared):
        for engine in engines:
            engine.break_at = 0
        for _ in range(2):
            code = await result_of(f.entries["entry-1"], f.model_call(5))
            assert code is ResultCode.UPSTREAM_FAILED
        await asyncio.sleep(1.0)
        assert shared.stored() == []


async def test_entry_follows_an_operators_lift():
    """Guards against a lift that an entry without a watch does not see."""
    async with crashing_fleet(1, 6) as (f, engines, shared):
        entry = f.entries["entry-1"]
        await result_of(entry, culprit(f))
        await asyncio.sleep(1.0)
        keys = [Delete(key) for key in shared.stored()]
        await shared.kv.client("operator").txn([], keys)
        assert await result_of(entry, culprit(f)) is ResultCode.QUARANTINED
        await asyncio.sleep(2.0)
        assert not entry.quarantine.is_watching
        await result_of(entry, culprit(f))
        assert crashes_of(engines) == 2 * MAX_CRASHES


class CrashingService(ScriptedService):
    """A service that one body crashes; it is back some seconds later."""

    def __init__(self) -> None:
        super().__init__()
        self.crashes = 0

    async def call(self, call):
        boot = self.crashes
        if not self.listening:
            raise NotReachedError("connection refused")
        if call.body == CRASHES.encode():
            await asyncio.sleep(0.02)
            self.crash()
        answer = await super().call(call)
        if self.crashes != boot:
            raise ReplyLostError("the service crashed")
        return answer

    def crash(self) -> None:
        self.crashes += 1
        self.listening = False
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_SECONDS, setattr, self, "listening", True)


@pytest.mark.parametrize("route", ["counter", "orders"])
async def test_call_that_crashes_services_is_refused(route):
    """Guards against calls that crash one service after another, try by try."""
    built = Fleet()
    services = [CrashingService() for _ in range(5)]
    for number, service in enumerate(services, start=1):
        built.add_upstream(f"service-{number}", service)
    entry = built.add_entry("entry-1")
    await built.ready()
    harmful = dataclasses.replace(built.service_call(route), body=CRASHES.encode())
    codes = []
    for _ in range(5):
        asked = dataclasses.replace(harmful, deadline=harmful.deadline + 60.0)
        try:
            await entry.submit_service(asked)
        except RequestError as error:
            codes.append(error.code)
        answer = await entry.submit_service(built.service_call(route, body=b"1"))
        assert answer.body == b"ok 1"
        await asyncio.sleep(1.0)
    await built.close()
    assert codes[-1] is ResultCode.QUARANTINED
    assert sum(service.crashes for service in services) == MAX_CRASHES


async def test_reply_that_a_live_service_loses_counts_as_no_crash():
    async with fleet(services=2) as f:
        entry = f.entries["entry-1"]
        for _ in range(4):
            f.upstreams["service-1"].lose_replies = 1
            f.upstreams["service-2"].lose_replies = 1
            with contextlib.suppress(RequestError):
                await entry.submit_service(f.service_call("orders"))
        assert not entry.quarantine.is_watching


async def test_fingerprints_tell_tenants_and_contents_apart():
    async with fleet() as f:
        call = f.model_call(5)
        again = dataclasses.replace(call, request_id="another", deadline=99.0)
        assert fingerprint_of(again) == fingerprint_of(call)
        changes = ({"tenant": "u"}, {"prompt": "b"}, {"model": "m"}, {"max_tokens": 6})
        others = [dataclasses.replace(call, **change) for change in changes]
        plain = f.service_call(body=b"1")
        others += [plain, dataclasses.replace(plain, body=b"2")]
        digests = {fingerprint_of(each) for each in (call, *others)}
        assert len(digests) == 1 + len(others)
