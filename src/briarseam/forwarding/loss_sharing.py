"""Telling other cells of requests that were lost with an endpoint.

Heartbeats tell losses within a cell.  A request that takes down each
endpoint comes again at any instance; counted by each cell for itself it
would take down as many endpoints more for each further cell.
"""

from __future__ import annotations

import dataclasses
import queue
import threading
import typing

import structlog

from briarseam.wire import codec
from briarseam.wire import replies

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.forwarding import crash_guard

# Losses that wait to be told.  An endpoint that crashes loses what an
# instance had there, a few dozen.
MAX_PENDING = 1000
log = structlog.get_logger("briarseam.forwarding")


@codec.message("requests-lost")
@dataclasses.dataclass(frozen=True)
class RequestsLost:
    """Tell another cell of requests that were lost with an endpoint.

    Attributes
    ----------
    losses
        Digest of each request, and the endpoint's id.
    """

    losses: tuple[tuple[bytes, str], ...]


@codec.message("requests-lost-noted")
@dataclasses.dataclass(frozen=True)
class RequestsLostNoted:
    """Reply that carries nothing but that the losses were taken in."""


class OtherCells(typing.Protocol):
    """One instance of each other cell."""

    def addresses(self) -> collections.abc.Sequence[str]:
        """Return where to reach one instance of each other cell."""

    def send_losses(self, address: str, message: RequestsLost) -> None:
        """Tell an instance.

        Raises
        ------
        NoReplyError
            When it may not have been reached.
        """


class LossSharing:
    """Tells other cells of losses here, and takes in theirs.

    Parameters
    ----------
    guard
        Counts losses.
    cells
        Calls to other cells.
    """

    def __init__(
        self, guard: crash_guard.CrashGuard, cells: OtherCells
    ) -> None:
        self.guard = guard
        self.cells = cells
        self.pending: queue.Queue[tuple[bytes, str] | None] = queue.Queue(
            MAX_PENDING
        )
        self.thread = threading.Thread(
            target=self.run, name="loss-sharing", daemon=True
        )

    def start(self) -> None:
        """Begin telling."""
        self.thread.start()

    def stop(self) -> None:
        """Tell nothing further."""
        try:
            self.pending.put_nowait(None)
        except queue.Full:
            log.warning("losses_left_untold", count=self.pending.qsize())

    def add(self, digest: bytes, endpoint: str) -> None:
        """Have a loss told, without waiting for it."""
        try:
            self.pending.put_nowait((digest, endpoint))
        except queue.Full:
            log.warning("loss_left_untold", digest=digest.hex())

    def handle(self, message: RequestsLost) -> RequestsLostNoted:
        """Take in what another cell lost; heartbeats tell it in this one."""
        for digest, endpoint in message.losses:
            self.guard.add_loss(digest, endpoint)
        return RequestsLostNoted()

    def run(self) -> None:
        """Tell until stopped."""
        while (first := self.pending.get()) is not None:
            losses = [first]
            while not self.pending.empty():
                following = self.pending.get()
                if following is None:
                    return
                losses.append(following)
            self.publish(RequestsLost(tuple(losses)))

    def publish(self, message: RequestsLost) -> None:
        """Tell one instance of each other cell."""
        for address in self.cells.addresses():
            try:
                self.cells.send_losses(address, message)
            except replies.NoReplyError as error:
                log.warning(
                    "losses_not_told",
                    address=address,
                    count=len(message.losses),
                    detail=str(error),
                )
