"""What happens in a series of stops, drawn from a seed; all times are in seconds."""

from __future__ import annotations

import dataclasses
import random
import signal

STILL_TAKING_SECONDS = 2.6
"""How long an entry takes requests after SIGTERM."""

IN_TURN_SECONDS = 1.2
"""Between the stops of two entries in planned work."""

LATE_SEEDS = 1000
"""From this seed on, callers and halts also follow an entry up to its very end."""

MOST_KEEPERS = 24
"""Callers that one process plays without becoming the slowest part."""


@dataclasses.dataclass(frozen=True)
class Stop:
    """One end of one entry; times but ``at`` and ``restart`` are after SIGTERM.

    :param killed: whether it is SIGKILL at once, without a warning.
    :param again: further signals.
    :param still_at: when the process is made to stand still; 0 for never.
    :param still_by: SIGSTOP, or SIGUSR2 for its event loop alone.
    :param restart: pause before the next start; ``None`` for none.
    :param aimed: idle connections that send just around the end of taking.
    :param opened: connections opened around the end of taking.
    :param endless: streams that outlast the time to end.
    :param dogged: callers that connect and send until the process is gone.
    :param halts: when its event loop stands still once more.
    """

    entry: int
    at: float
    killed: bool = False
    again: tuple[tuple[float, signal.Signals], ...] = ()
    still_at: float = 0.0
    still_seconds: float = 0.0
    still_by: signal.Signals = signal.SIGSTOP
    restart: float | None = None
    aimed: int = 4
    opened: int = 0
    endless: int = 0
    dogged: int = 0
    halts: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True)
class Plan:
    """A series; times are from its begin.

    :param keepers: callers that send without rest or with pauses, all the time.
    :param reloads: when which entry gets SIGHUP.
    :param replica_idle: after how long replicas close idle connections.
    :param leaves: when which replica ends; it is back a second later.
    :param store_fault: how long the store fails, each call after ``store_delay``.
    """

    entries: int
    plain: int
    engines: int
    keepers: int
    stops: tuple[Stop, ...]
    reloads: tuple[tuple[float, int], ...] = ()
    replica_idle: float = 30.0
    leaves: tuple[tuple[float, int], ...] = ()
    store_fault_at: float = 0.0
    store_fault: float = 0.0
    store_outage: int = 0
    store_delay: float = 0.0

    @property
    def replicas(self) -> int:
        """Number of upstreams, plain ones first."""
        return self.plain + self.engines


def draw_plan(seed: int, most: int = 4) -> Plan:
    """Return the series of a seed.

    :param most: most entries, plain replicas, and engines.
    """
    rng = random.Random(seed)
    entries = rng.randint(2, most)
    plain, engines = rng.randint(2, most), rng.randint(2, most)
    apart = rng.choice((IN_TURN_SECONDS, IN_TURN_SECONDS, 0.3, 0.0, 3.5))
    kills = rng.random() < 0.2
    keepers = rng.choice((2, 8) if kills else (0, 0, 2, 8))
    stops = [_draw_stop(rng, n, 0.8 + n * apart, kills) for n in range(entries)]
    if rng.random() < 0.3:
        early = stops[0].at + rng.uniform(3.5, 6.0)
        stops.append(_draw_stop(rng, 0, early, kills=False))
    if seed >= LATE_SEEDS:
        stops = [_with_late_part(stop, random.Random(f"late-{seed}")) for stop in stops]
    reloads = rng.choice((0, 2, 6))
    leaves = rng.sample(range(plain + engines), rng.choice((0, 0, 1, 3)))
    return Plan(
        entries=entries,
        plain=plain,
        engines=engines,
        keepers=min(MOST_KEEPERS, keepers * entries),
        stops=tuple(stops),
        reloads=tuple(
            (rng.uniform(0.5, 8.0), rng.randrange(entries)) for _ in range(reloads)
        ),
        replica_idle=rng.choice((0.03, 0.2, 30.0, 30.0)),
        leaves=tuple((rng.uniform(0.5, 5.0), number) for number in leaves),
        store_fault_at=rng.uniform(0.2, 3.0),
        store_fault=rng.choice((0.0, 0.0, 1.0, 5.0)),
        store_outage=rng.choice((0, 0, 503)),
        store_delay=rng.choice((0.05, 0.4, 30.0)),
    )


def _draw_stop(rng: random.Random, entry: int, at: float, kills: bool) -> Stop:
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    moments = (0.0, 0.001, 0.5, 2.59, 2.7)
    still = rng.random() < 0.7
    return Stop(
        entry=entry,
        at=at,
        killed=kills and rng.random() < 0.5,
        again=tuple(
            (rng.choice(moments), rng.choice(signals))
            for _ in range(rng.choice((0, 0, 1, 3)))
        ),
        still_at=STILL_TAKING_SECONDS - rng.uniform(0.01, 0.06) if still else 0.0,
        still_seconds=rng.uniform(0.08, 0.3),
        still_by=rng.choice((signal.SIGSTOP, signal.SIGUSR2)),
        restart=rng.choice((0.0, 0.0, 0.5, None)),
        aimed=rng.choice((1, 1, 4, 12)),
        opened=rng.choice((0, 0, 5, 20)),
        endless=rng.choice((0, 0, 0, 1)),
    )


def _with_late_part(stop: Stop, rng: random.Random) -> Stop:
    moments = (rng.uniform(STILL_TAKING_SECONDS, 5.0) for _ in range(8))
    return dataclasses.replace(
        stop, dogged=rng.choice((0, 1, 3, 8)), halts=tuple(sorted(moments))
    )
