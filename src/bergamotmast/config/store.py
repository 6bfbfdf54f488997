"""Storage of the configuration in the key-value service, by compare-and-swap.

Each accepted edit writes four kinds of key in one transaction: the current document,
its digest key (an empty key named by the document's digest, by which a process can
check cheaply whether it has missed an edit), the delta from the previous document, and
a history record that names the author.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import hashlib
import time

import msgspec

from ..decoding import DecodingError
from ..decoding import JsonDecoder
from ..errors import ConfigError
from ..errors import EditConflictError
from ..errors import KeyValueOutcomeUnknownError
from ..errors import KeyValueUnavailableError
from ..history import ConfigAccepted
from ..history import HistorySink
from ..history import NullHistory
from ..ports import Compare
from ..ports import Delete
from ..ports import KeyValue
from ..ports import KeyValueService
from ..ports import Put
from ..ports import TxnResult
from .checks import check_configuration
from .delta import make_delta
from .diff import diff
from .document import Configuration
from .document import decode_configuration
from .document import encode_configuration

CONFIG_PREFIX = "/bergamotmast/config/"
CURRENT_KEY = CONFIG_PREFIX + "current"
DIGEST_KEY_PREFIX = CONFIG_PREFIX + "mark/"
DELTA_PREFIX = CONFIG_PREFIX + "delta/"
HISTORY_PREFIX = CONFIG_PREFIX + "history/"

GENERATION_DIGITS = 12
"""Digits of a generation in a key, zero-padded so that keys sort numerically."""

DIGEST_KEY_DIGITS = 32
"""Hex digits of a document's digest in its digest key."""

MAX_HISTORY_RECORDS = 100
"""Newest records kept: each holds a whole document, and the service is small."""

MAX_DELTAS = 32
"""Newest deltas kept; a process that is further behind reads the whole document."""

MAX_WRITE_ATTEMPTS = 6
"""Maximum attempts of one transaction while its outcome stays unknown."""

FIRST_RETRY_DELAY_SECONDS = 0.1
"""Delay before the second attempt; doubled before each later one."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration as stored in the key-value service.

    :param document: the encoded configuration.
    :param mod_revision: revision for a compare-and-swap; 0 if none is stored yet.
    """

    configuration: Configuration
    document: bytes
    mod_revision: int


class ConfigRecord(msgspec.Struct, frozen=True):
    """History record of an accepted edit.

    :param author: who proposed it.
    :param nonce: idempotency key of the accepted proposal.
    :param accepted_at: the proposer's wall clock, seconds since 1970; shown to people
        only.
    :param changes: its differences from the previous document, a line each.
    """

    generation: int
    author: str
    nonce: str
    accepted_at: float
    changes: tuple[str, ...]
    configuration: Configuration


_RECORD_ENCODER = msgspec.json.Encoder()
_RECORD_DECODER = JsonDecoder[ConfigRecord](ConfigRecord)


def history_key(generation: int) -> str:
    """Return the key of a generation's history record."""
    return f"{HISTORY_PREFIX}{generation:0{GENERATION_DIGITS}d}"


def delta_key(generation: int) -> str:
    """Return the key of the delta from the previous generation to this one."""
    return f"{DELTA_PREFIX}{generation:0{GENERATION_DIGITS}d}"


def digest_key(document: bytes) -> str:
    """Return the key that exists while a document is the current one."""
    return DIGEST_KEY_PREFIX + hashlib.sha256(document).hexdigest()[:DIGEST_KEY_DIGITS]


class ConfigStore:
    """Reads and edits the stored configuration.

    :param kv: the key-value service.
    :param history: records accepted generations.
    :param wall_clock: seconds since 1970, for the records that people read.
    """

    def __init__(
        self,
        kv: KeyValueService,
        history: HistorySink | None = None,
        wall_clock: cabc.Callable[[], float] = time.time,
    ) -> None:
        self.kv = kv
        self.history_sink = history or NullHistory()
        self.wall_clock = wall_clock

    async def read(self) -> StoredConfiguration:
        """Read the current document; an empty one if none is stored yet.

        :raises ConfigError: if the stored document is not valid.
        """
        item = await self.kv.get(CURRENT_KEY)
        if item is None:
            return StoredConfiguration(Configuration(), b"", 0)
        return _decode_stored(item)

    async def read_record(self, generation: int) -> ConfigRecord | None:
        """Read the record of a generation; ``None`` if it does not exist (any more)."""
        item = await self.kv.get(history_key(generation))
        return None if item is None else _decode_record(item)

    async def read_delta(self, generation: int) -> bytes | None:
        """Read the delta to a generation; ``None`` if it is not kept."""
        item = await self.kv.get(delta_key(generation))
        return None if item is None else item.value

    async def read_deltas(self) -> dict[int, bytes]:
        """Read all kept deltas, by the generation that each leads to."""
        result = await self.kv.range(DELTA_PREFIX)
        return {
            int(item.key.removeprefix(DELTA_PREFIX)): item.value
            for item in result.items
        }

    async def history(self, limit: int = 20) -> tuple[ConfigRecord, ...]:
        """Read the newest records, newest first."""
        result = await self.kv.range(HISTORY_PREFIX)
        newest = sorted(result.items, key=lambda item: item.key, reverse=True)
        return tuple(_decode_record(item) for item in newest[:limit])

    async def propose(
        self,
        configuration: Configuration,
        against_generation: int,
        author: str,
        nonce: str,
    ) -> Configuration:
        """Make a document the current one, unless another edit was accepted first.

        :param against_generation: the generation that the proposal is based on.
        :param nonce: idempotency key, unique to this proposal.
        :return: the document with its new generation.
        :raises ConfigError: if the document is not valid.
        :raises EditConflictError: if another edit was accepted first.
        :raises KeyValueUnavailableError: if nothing was written.
        :raises KeyValueOutcomeUnknownError: if the outcome stayed unknown.
        """
        proposed = _with_generation(configuration, against_generation + 1)
        check_configuration(proposed)
        digest_keys = await self._read_digest_keys()
        stored = await self.read()
        if stored.configuration.generation != against_generation:
            return await self._resolve_conflict(proposed, nonce)
        record = self._new_record(stored, proposed, author, nonce)
        if await self._compare_and_swap(stored, digest_keys, record):
            self.history_sink.record(
                ConfigAccepted(at=_now(), generation=proposed.generation)
            )
            return proposed
        return await self._resolve_conflict(proposed, nonce)

    async def republish(self, document: bytes, author: str, nonce: str) -> bool:
        """Write the document in force to a service that lost it.

        A service restored from a backup holds an older document, which processes
        reject: an operator's edit of it would take effect nowhere. If both documents
        have the same generation but differ, the restored one has already been edited;
        that later edit is kept, under a generation above both.

        :return: whether the stored document was changed.
        """
        ours = decode_configuration(document)
        digest_keys = await self._read_digest_keys()
        stored = await self.read()
        theirs = stored.configuration
        if theirs.generation > ours.generation or stored.document == document:
            return False
        if theirs.generation == ours.generation:
            if theirs == ours:
                return False
            ours = _with_generation(theirs, theirs.generation + 1)
        record = self._new_record(stored, ours, author, nonce)
        return await self._compare_and_swap(stored, digest_keys, record)

    async def _read_digest_keys(self) -> tuple[KeyValue, ...]:
        return (await self.kv.range(DIGEST_KEY_PREFIX)).items

    def _new_record(
        self,
        stored: StoredConfiguration,
        proposed: Configuration,
        author: str,
        nonce: str,
    ) -> ConfigRecord:
        changes = diff(stored.configuration, proposed)
        return ConfigRecord(
            generation=proposed.generation,
            author=author,
            nonce=nonce,
            accepted_at=self.wall_clock(),
            changes=tuple(change.show() for change in changes),
            configuration=proposed,
        )

    async def _compare_and_swap(
        self,
        stored: StoredConfiguration,
        digest_keys: tuple[KeyValue, ...],
        record: ConfigRecord,
    ) -> bool:
        """Repeat the transaction until its outcome is known.

        A lost reply leaves open whether the write took effect or still will, which a
        read alone can't tell. Repeating the identical transaction is safe, because its
        condition can hold only once; if it fails, the nonce in the record tells whether
        an earlier attempt took effect.
        """
        compares = _compares(stored, digest_keys)
        writes = _writes(stored, record, digest_keys)
        lost: KeyValueOutcomeUnknownError | None = None
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(FIRST_RETRY_DELAY_SECONDS * 2 ** (attempt - 1))
            try:
                result: TxnResult = await self.kv.txn(compares, writes)
                return result.succeeded or await self._is_ours(record)
            except KeyValueOutcomeUnknownError as error:
                lost = error
            except KeyValueUnavailableError:
                if lost is None:
                    raise
        raise KeyValueOutcomeUnknownError(
            f"generation {record.generation} may or may not have been accepted;"
            f" look for nonce {record.nonce} in the history"
        ) from lost

    async def _is_ours(self, record: ConfigRecord) -> bool:
        try:
            stored_record = await self.read_record(record.generation)
        except KeyValueUnavailableError as error:
            raise KeyValueOutcomeUnknownError(error.message) from error
        return stored_record is not None and stored_record.nonce == record.nonce

    async def _resolve_conflict(
        self, proposed: Configuration, nonce: str
    ) -> Configuration:
        """Return the proposal if an earlier attempt was accepted, else raise."""
        first = await self.read_record(proposed.generation)
        if first is not None and first.nonce == nonce:
            return first.configuration
        current = (await self.read()).configuration
        newest = await self.read_record(current.generation)
        author = first.author if first else newest.author if newest else "unknown"
        changes = diff(current, proposed)
        raise EditConflictError(
            f"generation {proposed.generation - 1} is no longer the current one:"
            f" {author} was first, and {current.generation} is current now."
            f" The proposal differs from it in {len(changes)} places.",
            generation=current.generation,
            author=author,
            differences=tuple(change.show() for change in changes),
        )


def _compares(
    stored: StoredConfiguration, digest_keys: tuple[KeyValue, ...]
) -> list[Compare]:
    """Return the conditions for writing an edit of a stored document.

    A service restored from a backup reissues revisions: another document may have the
    revision that the proposer read, and would be overwritten unnoticed. The digest key
    is derived from the document itself and was read before it, so that both conditions
    together hold for this document only.
    """
    conditions = [Compare(item.key, item.mod_revision) for item in digest_keys]
    return [Compare(CURRENT_KEY, stored.mod_revision), *conditions]


def _writes(
    stored: StoredConfiguration, record: ConfigRecord, digest_keys: tuple[KeyValue, ...]
) -> list[Put | Delete]:
    generation = record.generation
    document = encode_configuration(record.configuration)
    writes: list[Put | Delete] = [Delete(item.key) for item in digest_keys]
    writes += [
        Put(CURRENT_KEY, document),
        Put(digest_key(document), b""),
        Put(delta_key(generation), make_delta(stored.document, document)),
        Put(history_key(generation), _RECORD_ENCODER.encode(record)),
    ]
    if generation > MAX_DELTAS:
        writes.append(Delete(delta_key(generation - MAX_DELTAS)))
    if generation > MAX_HISTORY_RECORDS:
        writes.append(Delete(history_key(generation - MAX_HISTORY_RECORDS)))
    return writes


def _with_generation(configuration: Configuration, generation: int) -> Configuration:
    return msgspec.structs.replace(configuration, generation=generation)


def _decode_stored(item: KeyValue) -> StoredConfiguration:
    try:
        configuration = decode_configuration(item.value)
    except DecodingError as error:
        raise ConfigError(f"{item.key} holds no configuration: {error}") from error
    return StoredConfiguration(configuration, item.value, item.mod_revision)


def _decode_record(item: KeyValue) -> ConfigRecord:
    try:
        return _RECORD_DECODER.decode(item.value)
    except DecodingError as error:
        raise ConfigError(f"{item.key} holds no record: {error}") from error


def _now() -> float:
    return asyncio.get_running_loop().time()
