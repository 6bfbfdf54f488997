"""Keeps new connections away from a listening socket that is about to be closed."""

from __future__ import annotations

import ctypes
import logging
import socket
import struct

logger = logging.getLogger(__name__)

SO_ATTACH_FILTER = 26
"""Socket option of Linux for a classic BPF program."""

INSTRUCTION = struct.Struct("=HBBI")
"""Code, jump if true, jump if false, operand: ``struct sock_filter``."""

LOAD_BYTE = 0x30
AND = 0x54
JUMP_IF_EQUAL = 0x15
RETURN = 0x06

TCP_FLAGS_OFFSET = 13
SYN = 0x02
SYN_AND_ACK = 0x12
WHOLE_SEGMENT = 0xFFFFFFFF

NO_HANDSHAKES = b"".join(
    INSTRUCTION.pack(*each)
    for each in [
        (LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        (AND, 0, 0, SYN_AND_ACK),
        (JUMP_IF_EQUAL, 0, 1, SYN),
        (RETURN, 0, 0, 0),
        (RETURN, 0, 0, WHOLE_SEGMENT),
    ]
)
"""Drops the first segment of each handshake, and passes the others of those that have
begun."""


class _Program(ctypes.Structure):
    """``struct sock_fprog``."""

    _fields_ = (("length", ctypes.c_ushort), ("instructions", ctypes.c_char_p))


def ignore_handshakes(listening: socket.socket) -> None:
    """Let a listening TCP socket ignore all handshakes that have not begun.

    Source: ``Documentation/networking/filter.rst`` of the Linux kernel. Where the
    system has no such filters, a connection that is opened between the last accept and
    the close is reset.
    """
    program = _Program(len(NO_HANDSHAKES) // INSTRUCTION.size, NO_HANDSHAKES)
    try:
        listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))
    except OSError as error:
        text = str(error)
        logger.warning("new connections are not ignored", extra={"error": text})
