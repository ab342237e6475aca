"""Bytes that the process holds for callers and endpoints, and their limit.

The process is ended when it exceeds its memory.  A refused request can be
sent again, while a process that ends loses all of its requests.
"""

from __future__ import annotations

import threading
import time
import typing

import structlog

from briarseam import bounded_reads
from briarseam.clients import budget as budgets

MEGABYTE = 1_000_000
# The rest of the memory is for the interpreter, the state of the parts, and
# the copies that are made while bodies are read and sent.
MEMORY_SHARE = 0.25
# All answers that are not complete yet.  An endpoint may send without end, and
# many requests may be under way there.
MAX_INCOMPLETE_BYTES = 16 * 1024 * 1024
# Each answer may have as much, whatever else is held.
FREE_ANSWER_BYTES = 64 * 1024
# How long a body waits for others that give way to it.
MAKE_WAY_S = 0.1
MAKE_WAY_POLL_S = 0.005
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
    incomplete
        The same of answers that are not complete.
    on_refused
        Called when a request's body is refused because of the limit.
    """

    def __init__(self, limit: int = 0) -> None:
        self.limit = limit
        self.total = 0
        self.incomplete = 0
        self.on_refused: typing.Callable[[], None] = lambda: None
        self.lock = threading.Lock()

    def add(self, size: int) -> None:
        """Count more bytes, or fewer if negative."""
        with self.lock:
            self.total += size

    def add_incomplete(self, size: int, own: int) -> None:
        """Count more bytes of an incomplete answer, or fewer if negative.

        Parameters
        ----------
        size
            Number of further bytes.
        own
            Number of bytes of the same answer, these included.

        Raises
        ------
        TooManyBytesError
            If too much is held of all such answers.
        """
        with self.lock:
            is_too_much = (
                size > 0
                and own > FREE_ANSWER_BYTES
                and self.incomplete + size > MAX_INCOMPLETE_BYTES
            )
            if not is_too_much:
                self.total += size
                self.incomplete += size
        if is_too_much:
            raise bounded_reads.TooManyBytesError(
                f"more than {MAX_INCOMPLETE_BYTES} bytes of incomplete answers"
            )

    def complete(self, size: int) -> None:
        """Count bytes of an answer as complete."""
        with self.lock:
            self.incomplete -= size

    def has_room(self, size: int, own: int) -> bool:
        """Return whether bytes of a request's body would be counted.

        Parameters
        ----------
        size, own
            As in :meth:`try_add`.
        """
        with self.lock:
            return not self.total + size > self.limit > 0 or self.total <= own

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
    share
        Counts them for the request's connection.

    Attributes
    ----------
    body_bytes
        Size of what was read of the body, or its announced length.
    answer_bytes
        Size of what the caller has not received yet of the answer.
    is_complete
        Whether that is the complete answer.
    """

    def __init__(
        self,
        held: HeldBytes,
        share: budgets.Share | None = None,
    ) -> None:
        self.held = held
        self.share = share or budgets.unlimited()
        self.body_bytes = 0
        self.answer_bytes = 0
        self.is_complete = False

    def hold_body(self, size: int) -> None:
        """Count more bytes of the body.

        Raises
        ------
        OverLimitError
            If they exceed the limit.
        """
        own = self.body_bytes + self.answer_bytes
        if not self.held.has_room(size, own) and self.share.make_way(size):
            self.await_room(size, own)
        if not self.held.try_add(size, own):
            raise OverLimitError
        if not self.share.add(size):
            self.held.add(-size)
            raise OverLimitError
        self.body_bytes += size

    def await_room(self, size: int, own: int) -> None:
        """Wait for a moment until bodies that gave way have ended."""
        end_s = time.monotonic() + MAKE_WAY_S
        while not self.held.has_room(size, own) and time.monotonic() < end_s:
            time.sleep(MAKE_WAY_POLL_S)

    def hold_answer(self, size: int) -> None:
        """Set the number of bytes that are held of an incomplete answer.

        They may exceed the limit of requests: the endpoint has already
        produced them.

        Raises
        ------
        TooManyBytesError
            If too much is held of all answers.
        """
        if self.is_complete:
            # Of an earlier attempt, whose answer was a failure.
            self.release_answer()
        self.held.add_incomplete(size - self.answer_bytes, size)
        self.share.force(size - self.answer_bytes)
        self.answer_bytes = size

    def complete_answer(self) -> None:
        """Count the answer as complete."""
        if not self.is_complete:
            self.is_complete = True
            self.held.complete(self.answer_bytes)

    def release_answer(self) -> None:
        """Stop counting the answer."""
        if not self.is_complete:
            self.held.complete(self.answer_bytes)
        self.held.add(-self.answer_bytes)
        self.share.force(-self.answer_bytes)
        self.answer_bytes = 0
        self.is_complete = False

    def release(self) -> None:
        """Stop counting; the request has ended."""
        self.release_answer()
        self.held.add(-self.body_bytes)
        self.share.force(-self.body_bytes)
        self.body_bytes = 0


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
