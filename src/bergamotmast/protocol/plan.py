"""Records of the plan in the key-value service, shared by planner and sides.

A head record carries the plan's fencing token. Each engine's plan has its own key, so
that a side watches only its engine and receives no changes of other engines.
"""

from __future__ import annotations

import msgspec

from ..decoding import JsonDecoder
from ..model import Assignment
from ..model import FencingToken

PLAN_PREFIX = "/bergamotmast/plan/"
HEAD_KEY = PLAN_PREFIX + "head"
HOLDER_KEY = PLAN_PREFIX + "holder"
GUARD_PREFIX = PLAN_PREFIX + "guard/"
ENGINES_PREFIX = PLAN_PREFIX + "engines/"


class PlanHead(msgspec.Struct, frozen=True):
    """Head record, which every write of the plan compares and replaces.

    :param epoch: increased by the first write of each takeover.
    :param revision: increased by each write.
    :param nonce: random for each write; lets the writer check that it took effect.
    :param planner: name of the writer, for operators.
    """

    epoch: int
    revision: int
    nonce: str
    planner: str

    @property
    def token(self) -> FencingToken:
        """Fencing token of the write."""
        return FencingToken(self.epoch, self.revision)


class EnginePlan(msgspec.Struct, frozen=True):
    """Plan of one engine.

    :param epoch: epoch of the write that last wrote this engine's plan.
    :param revision: revision of the same write.
    :param assignment: role, models and adapters that the engine should have.
    """

    epoch: int
    revision: int
    assignment: Assignment

    @property
    def token(self) -> FencingToken:
        """Fencing token of the assignment, which orders to the engine carry."""
        return FencingToken(self.epoch, self.revision)


def guard_key(nonce: str) -> str:
    """Return the key that exists only while the write with this nonce is the last.

    A service restored from a backup assigns the same revisions again. A planner from
    before the restore could then find the head at the revision that it remembers,
    although another planner wrote it. Its comparison would succeed, and there would be
    two planners at once. A key named by the nonce can't exist by chance, so writes
    compare it too.
    """
    return GUARD_PREFIX + nonce


def engine_prefix(engine: str) -> str:
    """Return the key prefix that an engine's side watches.

    It ends with a slash: without it, the side of ``engine-1`` would also receive
    changes of ``engine-10``.
    """
    return f"{ENGINES_PREFIX}{engine}/"


def engine_key(engine: str) -> str:
    """Return the key of an engine's plan."""
    return engine_prefix(engine) + "plan"


def engine_of_key(key: str) -> str:
    """Return the engine whose plan a key holds."""
    return key.removeprefix(ENGINES_PREFIX).rpartition("/")[0]


_ENCODER = msgspec.json.Encoder()
_HEAD_DECODER = JsonDecoder[PlanHead](PlanHead)
_PLAN_DECODER = JsonDecoder[EnginePlan](EnginePlan)


def encode_record(record: PlanHead | EnginePlan) -> bytes:
    """Encode a record as JSON."""
    return _ENCODER.encode(record)


def decode_head(data: bytes) -> PlanHead:
    """Decode the head record.

    :raises DecodingError: if the data is not a head record.
    """
    return _HEAD_DECODER.decode(data)


def decode_engine_plan(data: bytes) -> EnginePlan:
    """Decode one engine's plan.

    :raises DecodingError: if the data is not an engine's plan.
    """
    return _PLAN_DECODER.decode(data)
