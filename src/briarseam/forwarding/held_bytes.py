"""Bytes that the process holds for callers and endpoints, and their limit.

The process is ended when it exceeds its memory.  A refused request can be
sent again, while a process that ends loses all of its requests.
"""

from __future__ import annotations

import threading
import typing

import structlog

MEGABYTE = 1_000_000
# The rest of the memory is for the interpreter, the state of the parts, and
# the copies that are made while bodies are read and sent.
MEMORY_SHARE = 0.25
log = structlog.get_logger("briarseam.forwarding")


class OverLimitError(Exception):
    """A request's body would exceed the limit of bytes held."""


class HeldBytes:
    """Counts the bytes held for all requests; thread-safe.

    Parameters
    ----------
    limit
        Above this number of bytes, no further request body is accepted; 0
        for no limit.

    Attributes
    ----------
    total
        Number of bytes held now.
    on_refused
        Called when a request's body is refused because of the limit.
    """

    def __init__(self, limit: int = 0) -> None:
        self.limit = limit
        self.total = 0
        self.on_refused: typing.Callable[[], None] = lambda: None
        self.lock = threading.Lock()

    def add(self, size: int) -> None:
        """Count more bytes, or fewer if negative."""
        with self.lock:
            self.total += size

    def try_add(self, size: int, own: int) -> bool:
        """Count bytes of a request's body unless they exceed the limit.

        A request is always accepted if nothing is held for others.
        Otherwise one whose body alone exceeds the limit could never succeed.

        Parameters
        ----------
        size
            Number of further bytes.
        own
            Number of bytes already held for the same request.

        Returns
        -------
        bool
            Whether the bytes were counted.
        """
        with self.lock:
            total, limit = self.total, self.limit
            refused = total + size > limit > 0 and total > own
            if not refused:
                self.total += size
        if refused:
            self.on_refused()
            log.info(
                "held_bytes_exceeded",
                held_bytes=total,
                limit=limit,
                body_bytes=size,
                own_bytes=own,
            )
        return not refused


class Holding:
    """Bytes held for one request; used by its thread only.

    Parameters
    ----------
    held
        Counts the bytes of all requests.

    Attributes
    ----------
    body_bytes
        Size of what was read of the body, or its announced length.
    answer_bytes
        Size of what the caller has not received yet of the answer.
    """

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self.body_bytes = 0
        self.answer_bytes = 0

    def hold_body(self, size: int) -> None:
        """Count more bytes of the body.

        Raises
        ------
        OverLimitError
            If they exceed the limit.
        """
        own = self.body_bytes + self.answer_bytes
        if not self.held.try_add(size, own):
            raise OverLimitError
        self.body_bytes += size

    def hold_answer(self, size: int) -> None:
        """Set the number of bytes of the answer that are held.

        They may exceed the limit: the endpoint has already produced them.
        """
        self.held.add(size - self.answer_bytes)
        self.answer_bytes = size

    def release(self) -> None:
        """Stop counting; the request has ended."""
        self.held.add(-self.body_bytes - self.answer_bytes)
        self.body_bytes = self.answer_bytes = 0


def unlimited() -> Holding:
    """Return a holding that counts towards no limit."""
    return Holding(HeldBytes())


def limit_of(held_bytes: int, memory_mb: int) -> int:
    """Return the limit of bytes held; 0 for none.

    Parameters
    ----------
    held_bytes
        The configured limit in bytes; 0 for a share of the memory.
    memory_mb
        Memory that the process may use, in MB; 0 if unknown.
    """
    return held_bytes or int(memory_mb * MEGABYTE * MEMORY_SHARE)
