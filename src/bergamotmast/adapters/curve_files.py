"""Loading of a process's CURVE keys from files."""

from __future__ import annotations

import pathlib

import zmq.auth

from ..errors import SettingError
from .zeromq import CurveKeys

PUBLIC_KEY_LENGTH = 40
"""Characters of a public key in Z85 encoding."""


def load_keys(secret_file: str, peers_file: str) -> CurveKeys | None:
    """Read a process's key pair and its peers' public keys.

    :param secret_file: a ZeroMQ certificate with public and secret key; empty for
        connections without keys.
    :param peers_file: one public key a line; ``#`` begins a comment. A side accepts
        entries with these keys; an entry expects its sides to have the first one.
    :raises SettingError: if a file can't be read or holds no valid keys.
    """
    if not secret_file:
        return None
    public, secret = _load_key_pair(secret_file)
    peers = _load_peer_keys(peers_file)
    return CurveKeys(public, secret, peers[0], frozenset(peers))


def _load_key_pair(path: str) -> tuple[bytes, bytes]:
    try:
        public, secret = zmq.auth.load_certificate(path)
    except (OSError, ValueError) as error:
        raise SettingError(
            "--curve-secret-file", path, f"a certificate: {error}"
        ) from error
    if secret is None:
        allowed = "a certificate with a secret key"
        raise SettingError("--curve-secret-file", path, allowed)
    return public, secret


def _load_peer_keys(path: str) -> list[bytes]:
    try:
        lines = pathlib.Path(path).read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingError(
            "--curve-peers-file", path, f"a list of keys: {error}"
        ) from error
    keys = [key for line in lines if (key := _parse_key(line)) is not None]
    if not keys or any(len(key) != PUBLIC_KEY_LENGTH for key in keys):
        allowed = f"public keys of {PUBLIC_KEY_LENGTH} characters, one a line"
        raise SettingError("--curve-peers-file", path, allowed)
    return [key.encode() for key in keys]


def _parse_key(line: str) -> str | None:
    """Return the key of a line without its comment; ``None`` for a line without a key.

    Keys may contain ``#``. If that were taken for the start of a comment, the key would
    be truncated, and the process could not start.
    """
    word, _, rest = line.strip().partition(" ")
    if not word or word.startswith("#") and len(word) != PUBLIC_KEY_LENGTH:
        return None
    if rest and not rest.lstrip().startswith("#"):
        return line.strip()
    return word
