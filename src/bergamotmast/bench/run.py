"""Simulation of one trace against a fleet under one policy, in virtual time."""

from __future__ import annotations

import asyncio
import collections
import itertools

from ..errors import RequestError
from ..errors import ResultCode
from ..model import ModelCall
from ..model import Readiness
from ..model import Role
from ..model import ServiceCall
from ..policy.presets import PolicySet
from . import metrics
from .environment import ROUTE
from .environment import BenchEnvironment
from .environment import first_token_seconds
from .faults import outages
from .metrics import DECIMAL_PLACES
from .metrics import RequestRecord
from .metrics import RunResult
from .metrics import TimelinePoint
from .oracle import oracle_tokens
from .scenarios import Scenario
from .trace import TraceRequest

SAMPLE_INTERVAL_SECONDS = 1.0
"""Interval between two samples of the fleet."""

TIMELINE_STEP_SECONDS = 5.0
"""Length of a step of the result's timeline."""

RETRY_PAUSE_SECONDS = 1.0
"""Delay of a retry whose refusal gave no ``retry_after``."""


async def run(scenario: Scenario, policy_set: PolicySet, seed: int) -> RunResult:
    """Simulate a scenario and return its result.

    Must run on an event loop with virtual time.
    """
    async with BenchEnvironment(
        scenario.fleet, policy_set, scenario.requests, seed
    ) as environment:
        trace_replay = TraceReplay(environment, scenario)
        await trace_replay.replay()
    return trace_replay.result(policy_set.name, seed)


class TraceReplay:
    """Sends the requests of a scenario and samples the state of the fleet."""

    def __init__(self, environment: BenchEnvironment, scenario: Scenario) -> None:
        self.environment = environment
        self.scenario = scenario
        self.records = [RequestRecord(request) for request in scenario.requests]
        self.origin = asyncio.get_running_loop().time()
        self.changing_seconds = 0.0
        self.samples: list[tuple[float, int, int, dict[str, int], int]] = []
        self.role_samples = [{n: e.role for n, e in environment.engines.items()}]

    def now(self) -> float:
        """Return the seconds since the start of the trace."""
        return asyncio.get_running_loop().time() - self.origin

    async def replay(self) -> None:
        """Send every request at its arrival time and wait for the last result."""
        background_tasks = [
            asyncio.create_task(self.environment.inject(fault, self.origin))
            for fault in self.scenario.faults
        ]
        background_tasks.append(asyncio.create_task(self._sample_periodically()))
        callers = [
            asyncio.create_task(self._caller(record, index))
            for index, record in enumerate(self.records)
        ]
        await asyncio.gather(*callers)
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, return_exceptions=True)

    async def _caller(self, record: RequestRecord, index: int) -> None:
        await asyncio.sleep(max(0.0, record.request.at - self.now()))
        for attempt in itertools.count(1):
            record.attempts = attempt
            pause = await self._send(record, f"r-{index}-{attempt}", index + attempt)
            due = record.request.at + record.request.deadline
            if pause is None or self.now() + pause >= due:
                break
            await asyncio.sleep(pause)
        record.ended_at = self.now()

    async def _send(
        self, record: RequestRecord, name: str, entry_index: int
    ) -> float | None:
        """Send a request once.

        :return: seconds until it is sent again; ``None`` if it isn't retried.
        """
        entry = self.environment.entries[entry_index % len(self.environment.entries)]
        try:
            if record.request.model:
                async for chunk in entry.submit_model(self._model_call(record, name)):
                    if record.first_at is None:
                        record.first_at = self.now()
                    record.tokens += chunk.tokens
            else:
                await entry.submit_service(self._service_call(record, name))
                record.first_at = self.now()
        except RequestError as error:
            record.code = error.code
            if self.scenario.callers_retry and error.info.retryable:
                return error.retry_after or RETRY_PAUSE_SECONDS
            return None
        record.code = ResultCode.OK
        return None

    def _model_call(self, record: RequestRecord, name: str) -> ModelCall:
        request = record.request
        configured = self.environment.configuration.request_class(request.klass)
        shared = int(request.prompt_tokens * self.environment.fleet.shared_share)
        due = self.origin + request.at + request.deadline
        first = self.origin + request.at + configured.first_token
        return ModelCall(
            request_id=name,
            tenant=request.tenant,
            request_class=request.klass,
            priority=configured.priority,
            model=request.model,
            prompt=f"[out={request.output_tokens}][prefix={shared}] {name}",
            prompt_tokens=request.prompt_tokens,
            max_tokens=MAX_TOKENS,
            prefix_key=request.prefix or "",
            first_token_deadline=min(first, due),
            deadline=due,
        )

    def _service_call(self, record: RequestRecord, name: str) -> ServiceCall:
        request = record.request
        configured = self.environment.configuration.request_class(request.klass)
        return ServiceCall(
            request_id=name,
            tenant=request.tenant,
            request_class=request.klass,
            priority=configured.priority,
            route=ROUTE,
            method="POST",
            path="/",
            body=b"",
            content_type="text/plain",
            repeatable=request.repeatable,
            idempotency_key="",
            deadline=self.origin + request.at + request.deadline,
        )

    # Samples of the fleet

    async def _sample_periodically(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
            self._sample()

    def _sample(self) -> None:
        running, queued, changing = 0, 0, 0
        roles = {role.value: 0 for role in Role}
        for name, engine in self.environment.engines.items():
            side = self.environment.sides[name]
            running += len(side.running)
            queued += side.policy.waiting()
            if side.readiness is Readiness.READY:
                roles[engine.role.value] += 1
            elif side.readiness is Readiness.CHANGING:
                changing += 1
        self.role_samples.append(
            {n: e.role for n, e in self.environment.engines.items()}
        )
        self.changing_seconds += changing * SAMPLE_INTERVAL_SECONDS
        self.samples.append((self.now(), running, queued, roles, changing))

    # Result

    def result(self, policy: str, seed: int) -> RunResult:
        """Return the result after :meth:`replay`."""
        scenario = self.scenario
        names = tuple(e.name for e in scenario.fleet.engines())
        lost = outages(scenario.faults, names)
        oracle = oracle_tokens(scenario.requests, scenario.fleet, lost)
        useful = metrics.useful_tokens(self.records)
        seconds = scenario.seconds or max((r.at for r in scenario.requests), default=1)
        tenants = metrics.by_tenant(self.records)
        shares = [c.met_share for c in tenants.values()]
        wasted, spent = self._wasted()
        return RunResult(
            policy=policy,
            seed=seed,
            scenario=scenario.name,
            seconds=round(seconds, DECIMAL_PLACES),
            goodput=round(useful / seconds, DECIMAL_PLACES),
            oracle=round(oracle / seconds, DECIMAL_PLACES),
            oracle_share=round(useful / oracle, DECIMAL_PLACES) if oracle else 1.0,
            counts=metrics.counts(self.records),
            codes=self._codes(),
            classes=metrics.by_class(
                self.records, first_token_seconds(self.environment.configuration)
            ),
            tenants=tenants,
            role_changes=self._role_changes(),
            engine_seconds_lost=round(self.changing_seconds, DECIMAL_PLACES),
            wasted_tokens=wasted,
            wasted_share=round(wasted / spent, DECIMAL_PLACES) if spent else 0.0,
            shed_share=round(self._shed_tokens() / spent, DECIMAL_PLACES)
            if spent
            else 0.0,
            fairness=metrics.jain(shares),
            least_tenant=min(shares, default=1.0),
            timeline=self._timeline(),
        )

    def _codes(self) -> dict[str, int]:
        found = collections.Counter(record.code.name for record in self.records)
        return dict(sorted(found.items()))

    def _wasted(self) -> tuple[int, int]:
        """Return the tokens that served no met request, and all processed tokens."""
        sides = [self.environment.sides[name] for name in self.environment.engines]
        spent = sum(side.done.prefill + side.done.decode for side in sides)
        served = sum(
            record.request.prompt_tokens + record.request.output_tokens
            for record in self.records
            if record.request.model and record.status == "met"
        )
        return max(0, spent - served), spent

    def _shed_tokens(self) -> int:
        """Return the tokens processed for requests that ended late or refused."""
        return sum(
            record.request.prompt_tokens + record.tokens
            for record in self.records
            if record.tokens and record.status in ("late", "refused")
        )

    def _role_changes(self) -> int:
        return sum(
            before.get(name, role) is not role
            for before, after in itertools.pairwise(self.role_samples)
            for name, role in after.items()
        )

    def _timeline(self) -> list[TimelinePoint]:
        steps = int(self.scenario.seconds // TIMELINE_STEP_SECONDS) + 1
        arrived: list[list[TraceRequest]] = [[] for _ in range(steps)]
        met = [0] * steps
        for record in self.records:
            arrived[
                min(steps - 1, int(record.request.at // TIMELINE_STEP_SECONDS))
            ].append(record.request)
            index = int(record.ended_at // TIMELINE_STEP_SECONDS)
            if record.status == "met" and record.request.model and index < steps:
                met[index] += record.request.output_tokens
        return [
            self._timeline_point(index, arrived[index], met[index])
            for index in range(min(steps, len(self.samples)))
        ]

    def _timeline_point(
        self, index: int, arrived: list[TraceRequest], met: int
    ) -> TimelinePoint:
        at = (index + 1) * TIMELINE_STEP_SECONDS
        sample = min(self.samples, key=lambda s: abs(s[0] - at))
        return TimelinePoint(
            at,
            round(
                sum(r.prompt_tokens for r in arrived if r.model)
                / TIMELINE_STEP_SECONDS,
                3,
            ),
            round(
                sum(r.output_tokens for r in arrived if r.model)
                / TIMELINE_STEP_SECONDS,
                3,
            ),
            round(met / TIMELINE_STEP_SECONDS, 3),
            sample[1],
            sample[2],
            sample[3],
            sample[4],
        )


MAX_TOKENS = 4096
"""Output limit of every request, in tokens; the same generous one for all."""
