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
from .faults import outages
from .metrics import DIGITS
from .metrics import Point
from .metrics import RequestLog
from .metrics import RunResult
from .oracle import oracle_tokens
from .scenarios import Scenario
from .trace import TraceRequest
from .world import ROUTE
from .world import World
from .world import first_token_seconds

SAMPLE_SECONDS = 1.0
"""Interval between two samples of the fleet."""

POINT_SECONDS = 5.0
"""Length of a step of the result's timeline."""

CALLER_PAUSE = 1.0
"""Delay of a retry whose refusal gave no ``retry_after``."""


async def run(scenario: Scenario, policy_set: PolicySet, seed: int) -> RunResult:
    """Simulate a scenario and return its result.

    Must run on an event loop with virtual time.
    """
    async with World(scenario.fleet, policy_set, scenario.requests, seed) as world:
        watched = Run(world, scenario)
        await watched.play()
    return watched.result(policy_set.name, seed)


class Run:
    """Sends the requests of a scenario and samples the state of the fleet."""

    def __init__(self, world: World, scenario: Scenario) -> None:
        self.world = world
        self.scenario = scenario
        self.logs = [RequestLog(request) for request in scenario.requests]
        self.origin = asyncio.get_running_loop().time()
        self.lost_seconds = 0.0
        self.samples: list[tuple[float, int, int, dict[str, int], int]] = []
        self.role_samples = [{n: e.role for n, e in world.engines.items()}]

    def now(self) -> float:
        """Return the seconds since the start of the trace."""
        return asyncio.get_running_loop().time() - self.origin

    async def play(self) -> None:
        """Send every request at its arrival time and wait for the last result."""
        helpers = [
            asyncio.create_task(self.world.play(fault, self.origin))
            for fault in self.scenario.faults
        ]
        helpers.append(asyncio.create_task(self._watch()))
        callers = [
            asyncio.create_task(self._caller(log, index))
            for index, log in enumerate(self.logs)
        ]
        await asyncio.gather(*callers)
        for helper in helpers:
            helper.cancel()
        await asyncio.gather(*helpers, return_exceptions=True)

    async def _caller(self, log: RequestLog, index: int) -> None:
        await asyncio.sleep(max(0.0, log.request.at - self.now()))
        for attempt in itertools.count(1):
            log.tries = attempt
            pause = await self._send(log, f"r-{index}-{attempt}", index + attempt)
            due = log.request.at + log.request.deadline
            if pause is None or self.now() + pause >= due:
                break
            await asyncio.sleep(pause)
        log.ended_at = self.now()

    async def _send(self, log: RequestLog, name: str, turn: int) -> float | None:
        """Send a request once.

        :return: seconds until it is sent again; ``None`` if it isn't retried.
        """
        entry = self.world.entries[turn % len(self.world.entries)]
        try:
            if log.request.model:
                async for chunk in entry.submit_model(self._model_call(log, name)):
                    if log.first_at is None:
                        log.first_at = self.now()
                    log.tokens += chunk.tokens
            else:
                await entry.submit_service(self._service_call(log, name))
                log.first_at = self.now()
        except RequestError as error:
            log.code = error.code
            if self.scenario.callers_retry and error.info.retryable:
                return error.retry_after or CALLER_PAUSE
            return None
        log.code = ResultCode.OK
        return None

    def _model_call(self, log: RequestLog, name: str) -> ModelCall:
        request = log.request
        configured = self.world.configuration.request_class(request.klass)
        shared = int(request.prompt_tokens * self.world.fleet.shared_share)
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

    def _service_call(self, log: RequestLog, name: str) -> ServiceCall:
        request = log.request
        configured = self.world.configuration.request_class(request.klass)
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

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            self._sample()

    def _sample(self) -> None:
        running, queued, changing = 0, 0, 0
        roles = {role.value: 0 for role in Role}
        for name, engine in self.world.engines.items():
            side = self.world.sides[name]
            running += len(side.running)
            queued += side.policy.waiting()
            if side.readiness is Readiness.READY:
                roles[engine.role.value] += 1
            elif side.readiness is Readiness.CHANGING:
                changing += 1
        self.role_samples.append({n: e.role for n, e in self.world.engines.items()})
        self.lost_seconds += changing * SAMPLE_SECONDS
        self.samples.append((self.now(), running, queued, roles, changing))

    # Result

    def result(self, policy: str, seed: int) -> RunResult:
        """Return the result after :meth:`replay`."""
        scenario = self.scenario
        names = tuple(e.name for e in scenario.fleet.engines())
        lost = outages(scenario.faults, names)
        oracle = oracle_tokens(scenario.requests, scenario.fleet, lost)
        useful = metrics.useful_tokens(self.logs)
        seconds = scenario.seconds or max((r.at for r in scenario.requests), default=1)
        tenants = metrics.by_tenant(self.logs)
        shares = [c.met_share for c in tenants.values()]
        wasted, spent = self._wasted()
        return RunResult(
            policy=policy,
            seed=seed,
            scenario=scenario.name,
            seconds=round(seconds, DIGITS),
            goodput=round(useful / seconds, DIGITS),
            oracle=round(oracle / seconds, DIGITS),
            oracle_share=round(useful / oracle, DIGITS) if oracle else 1.0,
            counts=metrics.counts(self.logs),
            codes=self._codes(),
            classes=metrics.by_class(
                self.logs, first_token_seconds(self.world.configuration)
            ),
            tenants=tenants,
            role_changes=self._role_changes(),
            engine_seconds_lost=round(self.lost_seconds, DIGITS),
            wasted_tokens=wasted,
            wasted_share=round(wasted / spent, DIGITS) if spent else 0.0,
            shed_share=round(self._shed_tokens() / spent, DIGITS) if spent else 0.0,
            fairness=metrics.jain(shares),
            least_tenant=min(shares, default=1.0),
            timeline=self._timeline(),
        )

    def _codes(self) -> dict[str, int]:
        found = collections.Counter(log.code.name for log in self.logs)
        return dict(sorted(found.items()))

    def _wasted(self) -> tuple[int, int]:
        """Return the tokens that served no met request, and all processed tokens."""
        sides = [self.world.sides[name] for name in self.world.engines]
        spent = sum(side.done.prefill + side.done.decode for side in sides)
        served = sum(
            log.request.prompt_tokens + log.request.output_tokens
            for log in self.logs
            if log.request.model and log.verdict == "met"
        )
        return max(0, spent - served), spent

    def _shed_tokens(self) -> int:
        """Return the tokens processed for requests that ended late or refused."""
        return sum(
            log.request.prompt_tokens + log.tokens
            for log in self.logs
            if log.tokens and log.verdict in ("late", "refused")
        )

    def _role_changes(self) -> int:
        return sum(
            before.get(name, role) is not role
            for before, after in itertools.pairwise(self.role_samples)
            for name, role in after.items()
        )

    def _timeline(self) -> list[Point]:
        steps = int(self.scenario.seconds // POINT_SECONDS) + 1
        arrived: list[list[TraceRequest]] = [[] for _ in range(steps)]
        met = [0] * steps
        for log in self.logs:
            arrived[min(steps - 1, int(log.request.at // POINT_SECONDS))].append(
                log.request
            )
            index = int(log.ended_at // POINT_SECONDS)
            if log.verdict == "met" and log.request.model and index < steps:
                met[index] += log.request.output_tokens
        return [
            self._point(index, arrived[index], met[index])
            for index in range(min(steps, len(self.samples)))
        ]

    def _point(self, index: int, arrived: list[TraceRequest], met: int) -> Point:
        at = (index + 1) * POINT_SECONDS
        sample = min(self.samples, key=lambda s: abs(s[0] - at))
        return Point(
            at,
            round(sum(r.prompt_tokens for r in arrived if r.model) / POINT_SECONDS, 3),
            round(sum(r.output_tokens for r in arrived if r.model) / POINT_SECONDS, 3),
            round(met / POINT_SECONDS, 3),
            sample[1],
            sample[2],
            sample[3],
            sample[4],
        )


MAX_TOKENS = 4096
"""Output limit of every request, in tokens; the same generous one for all."""
