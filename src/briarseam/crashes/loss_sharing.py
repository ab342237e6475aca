"""Publication of what was lost with an endpoint to other cells.

Heartbeats publish losses only within a cell.  A request that crashes each
endpoint may be repeated at any instance.  If each cell counted on its own,
the request would crash as many more endpoints for each further cell.
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

# Bounds the losses to be published.  When an endpoint crashes, an instance
# loses the requests that it had there, a few dozen.
MAX_PENDING = 1000
log = structlog.get_logger("briarseam.forwarding")


@codec.message("keys-lost")
@dataclasses.dataclass(frozen=True)
class KeysLost:
    """Requests and parts of prompts that were lost, for another cell.

    Attributes
    ----------
    losses
        Key of each, and the endpoint's id.
    """

    losses: tuple[tuple[bytes, str], ...]


@codec.message("keys-lost-noted")
@dataclasses.dataclass(frozen=True)
class KeysLostNoted:
    """Acknowledges :class:`KeysLost`."""


class LossCounter(typing.Protocol):
    """Counts losses."""

    def add_loss(self, key: bytes, endpoint: str, /) -> None:
        """Count a loss at an endpoint by the key of what was lost."""


class OtherCells(typing.Protocol):
    """Connection to one instance of each other cell."""

    def addresses(self) -> collections.abc.Sequence[str]:
        """Return the address of one instance of each other cell."""

    def send_losses(self, address: str, message: KeysLost) -> None:
        """Send losses to an instance.

        Raises
        ------
        NoReplyError
            If the instance may not have received them.
        """


class LossSharing:
    """Publishes local losses to other cells, and handles theirs.

    Parameters
    ----------
    counts
        Counts losses.
    cells
        Sends messages to other cells.
    """

    def __init__(
        self,
        counts: LossCounter,
        cells: OtherCells,
    ) -> None:
        self.counts = counts
        self.cells = cells
        self.pending: queue.Queue[tuple[bytes, str] | None] = queue.Queue(
            MAX_PENDING
        )
        self.thread = threading.Thread(
            target=self.run, name="loss-sharing", daemon=True
        )

    def start(self) -> None:
        """Start the thread that publishes losses."""
        self.thread.start()

    def stop(self) -> None:
        """Stop publishing."""
        try:
            self.pending.put_nowait(None)
        except queue.Full:
            log.warning("losses_left_untold", count=self.pending.qsize())

    def add(self, key: bytes, endpoint: str) -> None:
        """Queue a loss to be published."""
        try:
            self.pending.put_nowait((key, endpoint))
        except queue.Full:
            log.warning("loss_left_untold", key=key.hex())

    def handle(self, message: KeysLost) -> KeysLostNoted:
        """Count another cell's losses; heartbeats publish them in this one."""
        for key, endpoint in message.losses:
            self.counts.add_loss(key, endpoint)
        return KeysLostNoted()

    def run(self) -> None:
        """Publish losses until stopped."""
        while (first := self.pending.get()) is not None:
            losses = [first]
            while not self.pending.empty():
                following = self.pending.get()
                if following is None:
                    return
                losses.append(following)
            self.publish(KeysLost(tuple(losses)))

    def publish(self, message: KeysLost) -> None:
        """Send losses to one instance of each other cell."""
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
