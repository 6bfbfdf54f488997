"""How both ends of a session pass the configuration on, each to the other."""

from __future__ import annotations

import logging

import msgspec

from ..config.holder import ConfigHolder
from . import messages

logger = logging.getLogger(__name__)


def config_pull(holder: ConfigHolder, generation: int) -> messages.ConfigPull | None:
    """Return what to ask of a peer that has a generation; ``None`` for nothing."""
    if not holder.should_pull(generation):
        return None
    return messages.ConfigPull(holder.generation)


def newer_config_document(
    holder: ConfigHolder, generation: int
) -> messages.ConfigDocument | None:
    """Return the answer to a peer that has a generation; ``None`` if none is newer."""
    if holder.generation <= generation:
        return None
    return messages.ConfigDocument(holder.generation, holder.document)


def offer_document(holder: ConfigHolder, message: messages.ConfigDocument) -> None:
    """Offer a peer's document to the holder; what is no configuration is logged."""
    try:
        holder.offer(message.document)
    except msgspec.MsgspecError as error:
        logger.warning("configuration refused: %s", error)
