"""Decoder for the platform's contracts: what a deployment asks of the system."""

from __future__ import annotations

from ..direct.features import Features

SCARCITY = "pressure"
"""Contract of deployments whose callers compete for too little capacity at times."""


def decode_contracts(text: str) -> Features:
    """Return what the contracts in force ask for; unknown ones are ignored.

    :param text: names of contracts, separated by commas.
    """
    names = set(text.split(","))
    return Features(scarcity=SCARCITY in names)
