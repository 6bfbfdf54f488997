"""Records of the plan in the key-value service, shared by planner and sides.

One head record carries the plan's authority; each engine's part has a key of its own,
so that a side watches only its engine and hears nothing of the rest of the fleet.
"""

from __future__ import annotations

import msgspec

from ..model import Assignment
from ..model import FencingToken

PLAN_PREFIX = "/bergamotmast/plan/"
HEAD_KEY = PLAN_PREFIX + "head"
HOLDER_KEY = PLAN_PREFIX + "holder"
GUARD_PREFIX = PLAN_PREFIX + "guard/"
ENGINES_PREFIX = PLAN_PREFIX + "engines/"


class PlanHead(msgspec.Struct, frozen=True):
    """The record that every write of the plan compares and replaces.

    :param epoch: raised by each planner's first write.
    :param revision: raised by each write.
    :param nonce: drawn for each write; tells its writer that it took effect.
    :param planner: name of the writer, for operators.
    """

    epoch: int
    revision: int
    nonce: str
    planner: str

    @property
    def token(self) -> FencingToken:
        """Authority of the write."""
        return FencingToken(self.epoch, self.revision)


class EnginePlan(msgspec.Struct, frozen=True):
    """What one engine should be.

    :param epoch: of the write that last changed this engine's part.
    :param revision: of the same write.
    :param assignment: what the engine should be and carry.
    """

    epoch: int
    revision: int
    assignment: Assignment

    @property
    def token(self) -> FencingToken:
        """Authority of the assignment, as orders carry it."""
        return FencingToken(self.epoch, self.revision)


def guard_key(nonce: str) -> str:
    """Return the key that exists only while the write of this nonce is the last.

    A service restored from a backup gives its revisions out again. A planner from
    before the restore could then find the head at the very revision it remembers,
    written by somebody else, and its comparison would hold: two planners at once. A
    key named by the nonce can't be there by chance, so comparing it too is enough.
    """
    return GUARD_PREFIX + nonce


def engine_prefix(engine: str) -> str:
    """Return the prefix a side watches.

    It ends with a slash: without it, the side of ``engine-1`` would also hear of
    ``engine-10``.
    """
    return f"{ENGINES_PREFIX}{engine}/"


def engine_key(engine: str) -> str:
    """Return the key of an engine's part of the plan."""
    return engine_prefix(engine) + "plan"


def engine_of_key(key: str) -> str:
    """Return the engine whose part a key holds."""
    return key.removeprefix(ENGINES_PREFIX).rpartition("/")[0]


_ENCODER = msgspec.json.Encoder()
_HEAD_DECODER = msgspec.json.Decoder(PlanHead)
_PLAN_DECODER = msgspec.json.Decoder(EnginePlan)


def encode_record(record: PlanHead | EnginePlan) -> bytes:
    """Encode a record as JSON."""
    return _ENCODER.encode(record)


def decode_head(data: bytes) -> PlanHead:
    """Decode the head record.

    :raises msgspec.ValidationError: for anything else.
    """
    return _HEAD_DECODER.decode(data)


def decode_engine_plan(data: bytes) -> EnginePlan:
    """Decode one engine's part.

    :raises msgspec.ValidationError: for anything else.
    """
    return _PLAN_DECODER.decode(data)
