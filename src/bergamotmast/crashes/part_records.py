"""Records of the parts of prompts that were lost in crashes, shared by all entries.

Each entry that lost runs in a crash has one key for it, which names all suspected
parts: a key for each part would multiply the writes by the length of the prompts. A
part that was answered has a key for each crash that the answer acquits it of.
"""

from __future__ import annotations

import dataclasses

import msgspec

from ..decoding import DecodingError
from ..decoding import decode_json
from ..errors import ConfigError
from ..policy.crash_ledger import Verdict
from ..policy.part_ledger import PartLedger
from ..policy.part_ledger import PartLoss
from ..ports import KeyValueService
from ..ports import Put
from .fingerprint import fingerprint
from .records import split_key
from .records import write_in_batches

PARTS_PREFIX = "/bergamotmast/parts/"
PART_CRASHES_PREFIX = f"{PARTS_PREFIX}crashes/"
PART_ANSWERS_PREFIX = f"{PARTS_PREFIX}answers/"

ENTRY_DIGITS = 16
"""Length of an entry's digest in a key, as names may be longer than keys allow."""

REQUEST_DIGITS = 8
"""Length of a request's fingerprint in a record, which only tells those of one crash
apart."""


class LostPart(msgspec.Struct, frozen=True):
    """One suspected part of a crash; see :class:`~..policy.part_ledger.PartLoss`."""

    requests: tuple[str, ...]
    surprise: float = 1.0
    repeated: bool = False
    tried: bool = False
    is_known: bool = False


class PartCrashReport(msgspec.Struct, frozen=True):
    """Value of a crash's key: what one entry lost in it.

    :param upstream: name of the upstream that crashed.
    :param boot: id of its incarnation.
    :param build: version of its software.
    :param entry: name of the entry.
    :param lost_runs: number of runs that it lost.
    :param answered: number of answered prompts that it remembers.
    :param parts: the suspected parts.
    """

    upstream: str
    boot: str
    build: str
    entry: str
    lost_runs: int
    answered: float
    parts: dict[str, LostPart]

    @property
    def losses(self) -> dict[str, PartLoss]:
        """The losses by part."""
        return {
            part: PartLoss(
                frozenset(lost.requests),
                lost.surprise,
                lost.repeated,
                self.answered,
                lost.tried,
                lost.is_known,
            )
            for part, lost in self.parts.items()
        }


def lost_part(loss: PartLoss) -> LostPart:
    """Return the record of a loss."""
    requests = tuple(sorted(loss.requests))
    return LostPart(requests, loss.surprise, loss.repeated, loss.tried, loss.is_known)


def part_crash_key(crash: str, entry: str) -> str:
    """Return the key of what an entry lost in a crash."""
    digest = fingerprint(entry.encode(errors="surrogateescape"))
    return f"{PART_CRASHES_PREFIX}{crash}/{digest[:ENTRY_DIGITS]}"


def part_answer_key(part: str, crash: str) -> str:
    """Return the key that acquits a part of a crash."""
    return f"{PART_ANSWERS_PREFIX}{part}/{crash}"


def parse_part_crash(key: str, value: bytes) -> tuple[str, PartCrashReport]:
    """Return the id of the crash and the report that a record stands for.

    :raises ConfigError: if it is not the record of a crash.
    """
    crash, _ = split_key(key, PART_CRASHES_PREFIX)
    try:
        return crash, decode_json(value, PartCrashReport)
    except DecodingError as error:
        raise ConfigError(f"the report can't be decoded: {error}") from error


def parse_part_answer(key: str) -> tuple[str, str]:
    """Return the part and the id of the crash that it is acquitted of.

    :raises ConfigError: if it is not the key of an answer.
    """
    return split_key(key, PART_ANSWERS_PREFIX)


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectedPart:
    """A part and the upstreams that crashed under it.

    :param upstreams: names of the upstreams.
    :param evidence: number of these crashes that speak against it.
    :param verdict: the verdict on the part.
    """

    part: str
    upstreams: tuple[str, ...]
    evidence: float
    verdict: Verdict


async def read_suspected_parts(kv: KeyValueService) -> list[SuspectedPart]:
    """Return all parts that were lost in crashes, most crashes first."""
    ledger, upstreams = await _read_ledger(kv)
    found = [
        SuspectedPart(
            part,
            tuple(sorted(upstreams[crash] for crash in record.losses)),
            round(record.evidence().weight, 2),
            ledger.verdict(part, 0.0),
        )
        for part, record in ledger.records.items()
    ]
    return sorted(found, key=lambda suspect: (-len(suspect.upstreams), suspect.part))


async def acquit_part(kv: KeyValueService, part: str) -> int:
    """Acquit a part of all crashes; return how many there were."""
    ledger, _ = await _read_ledger(kv)
    keys = [part_answer_key(part, crash) for crash in sorted(ledger.crashes(part))]
    await write_in_batches(kv, [Put(key, b"operator") for key in keys])
    return len(keys)


async def _read_ledger(kv: KeyValueService) -> tuple[PartLedger, dict[str, str]]:
    """Return the crashes in the store, and the upstream of each of them."""
    result = await kv.range(PARTS_PREFIX)
    acquitted: set[tuple[str, str]] = set()
    losses: dict[str, dict[str, PartLoss]] = {}
    upstreams: dict[str, str] = {}
    for item in result.items:
        try:
            if item.key.startswith(PART_ANSWERS_PREFIX):
                acquitted.add(parse_part_answer(item.key))
                continue
            crash, report = parse_part_crash(item.key, item.value)
        except ConfigError:
            # An operator looks for what is known, beside records that are damaged.
            continue
        upstreams[crash] = report.upstream
        merge_losses(losses.setdefault(crash, {}), report.losses)
    ledger = PartLedger()
    for crash, parts in losses.items():
        remaining = {
            p: loss for p, loss in parts.items() if (p, crash) not in acquitted
        }
        ledger.replace(crash, remaining, 0.0)
    return ledger, upstreams


def merge_losses(known: dict[str, PartLoss], further: dict[str, PartLoss]) -> None:
    """Add an entry's losses in a crash to those of others."""
    for part, loss in further.items():
        known[part] = known[part].merge(loss) if part in known else loss
