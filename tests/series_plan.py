"""Plans of series of stops, drawn from a seed; all times are in seconds."""

from __future__ import annotations

import dataclasses
import random
import signal

ADMISSION_SECONDS = 2.6
"""How long an entry accepts requests after SIGTERM."""

STOP_INTERVAL_SECONDS = 1.2
"""Interval between the stops of two entries in a rolling restart."""

FIRST_LATE_SEED = 1000
"""First seed of the series with calls and stalls until the process exits."""

MAX_CONTINUOUS_CALLERS = 24
"""More callers in one process would become the bottleneck of the series."""


@dataclasses.dataclass(frozen=True)
class Stop:
    """One stop of one entry.

    ``at`` counts from the start of the series, ``restart`` from the process's exit, and
    all other times from SIGTERM.

    :param killed: whether the entry is killed with SIGKILL, without a SIGTERM.
    :param further_signals: times and numbers of further signals.
    :param stall_at: when the process is stalled; 0 for never.
    :param stall_seconds: duration of a stall by SIGSTOP.
    :param stall_signal: SIGSTOP for the process, or SIGUSR2 for its event loop alone.
    :param restart: delay before the next start; ``None`` for no restart.
    :param idle_connections: number of idle connections that send a request around the
        moment when admission ends.
    :param late_connections: number of connections opened around that moment.
    :param endless_streams: number of streams that are longer than the shutdown.
    :param persistent_callers: number of callers that send until the process exits.
    :param loop_stalls: when the event loop is stalled again.
    """

    entry: int
    at: float
    killed: bool = False
    further_signals: tuple[tuple[float, signal.Signals], ...] = ()
    stall_at: float = 0.0
    stall_seconds: float = 0.0
    stall_signal: signal.Signals = signal.SIGSTOP
    restart: float | None = None
    idle_connections: int = 4
    late_connections: int = 0
    endless_streams: int = 0
    persistent_callers: int = 0
    loop_stalls: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True)
class Plan:
    """A series of stops; its times count from its start.

    :param plain: number of plain replicas.
    :param continuous_callers: number of callers that send during the whole series.
    :param reloads: time of each SIGHUP, and the entry that receives it.
    :param replica_idle: time after which replicas close idle connections.
    :param replica_restarts: time of each restart, and the replica.
    :param store_fault: duration of the store's fault.
    :param store_outage: HTTP status of the store's replies during the fault; 0 if they
        are only delayed.
    :param store_delay: delay of the store's replies during the fault.
    """

    entries: int
    plain: int
    engines: int
    continuous_callers: int
    stops: tuple[Stop, ...]
    reloads: tuple[tuple[float, int], ...] = ()
    replica_idle: float = 30.0
    replica_restarts: tuple[tuple[float, int], ...] = ()
    store_fault_at: float = 0.0
    store_fault: float = 0.0
    store_outage: int = 0
    store_delay: float = 0.0

    @property
    def replicas(self) -> int:
        """Number of replicas; the plain ones have the lower numbers."""
        return self.plain + self.engines


def draw_plan(seed: int, most: int = 4) -> Plan:
    """Return the plan of a seed.

    :param most: maximum number each of entries, plain replicas and engines.
    """
    rng = random.Random(seed)
    entries = rng.randint(2, most)
    plain, engines = rng.randint(2, most), rng.randint(2, most)
    apart = rng.choice((STOP_INTERVAL_SECONDS, STOP_INTERVAL_SECONDS, 0.3, 0.0, 3.5))
    kills = rng.random() < 0.2
    continuous_callers = rng.choice((2, 8) if kills else (0, 0, 2, 8))
    stops = [_draw_stop(rng, n, 0.8 + n * apart, kills) for n in range(entries)]
    if rng.random() < 0.3:
        early = stops[0].at + rng.uniform(3.5, 6.0)
        stops.append(_draw_stop(rng, 0, early, kills=False))
    if seed >= FIRST_LATE_SEED:
        stops = [_with_late_part(stop, random.Random(f"late-{seed}")) for stop in stops]
    reloads = rng.choice((0, 2, 6))
    replica_restarts = rng.sample(range(plain + engines), rng.choice((0, 0, 1, 3)))
    return Plan(
        entries=entries,
        plain=plain,
        engines=engines,
        continuous_callers=min(MAX_CONTINUOUS_CALLERS, continuous_callers * entries),
        stops=tuple(stops),
        reloads=tuple(
            (rng.uniform(0.5, 8.0), rng.randrange(entries)) for _ in range(reloads)
        ),
        replica_idle=rng.choice((0.03, 0.2, 30.0, 30.0)),
        replica_restarts=tuple(
            (rng.uniform(0.5, 5.0), number) for number in replica_restarts
        ),
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
        further_signals=tuple(
            (rng.choice(moments), rng.choice(signals))
            for _ in range(rng.choice((0, 0, 1, 3)))
        ),
        stall_at=ADMISSION_SECONDS - rng.uniform(0.01, 0.06) if still else 0.0,
        stall_seconds=rng.uniform(0.08, 0.3),
        stall_signal=rng.choice((signal.SIGSTOP, signal.SIGUSR2)),
        restart=rng.choice((0.0, 0.0, 0.5, None)),
        idle_connections=rng.choice((1, 1, 4, 12)),
        late_connections=rng.choice((0, 0, 5, 20)),
        endless_streams=rng.choice((0, 0, 0, 1)),
    )


def _with_late_part(stop: Stop, rng: random.Random) -> Stop:
    moments = (rng.uniform(ADMISSION_SECONDS, 5.0) for _ in range(8))
    return dataclasses.replace(
        stop,
        persistent_callers=rng.choice((0, 1, 3, 8)),
        loop_stalls=tuple(sorted(moments)),
    )
