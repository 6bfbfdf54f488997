"""Exchange of the configuration between the two ends of a session."""

from __future__ import annotations

import logging

from ..config.holder import ConfigHolder
from ..decoding import DecodingError
from . import messages

logger = logging.getLogger(__name__)


def config_pull(holder: ConfigHolder, generation: int) -> messages.ConfigPull | None:
    """Return the request for a peer's configuration; ``None`` if it isn't needed.

    :param generation: generation that the peer has.
    """
    if not holder.should_pull(generation):
        return None
    return messages.ConfigPull(holder.generation)


def newer_config_document(
    holder: ConfigHolder, generation: int
) -> messages.ConfigDocument | None:
    """Return the configuration for a peer; ``None`` if it isn't newer than the peer's.

    :param generation: generation that the peer has.
    """
    if holder.generation <= generation:
        return None
    return messages.ConfigDocument(holder.generation, holder.document)


def offer_document(holder: ConfigHolder, message: messages.ConfigDocument) -> None:
    """Offer a peer's document to the holder; log one that can't be decoded."""
    try:
        holder.offer(message.document)
    except DecodingError as error:
        logger.warning("configuration refused: %s", error)
