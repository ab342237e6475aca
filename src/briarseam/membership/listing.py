"""Reads of the instance list, at an interval that its size allows."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam import backoff
from briarseam.backing import instances

INTERVAL_S = 2.0
BYTES_PER_S = 4000.0
JITTER = 0.2
AGENT_ROLE = "agent"
log = structlog.get_logger("briarseam.membership")
ListingCallback = typing.Callable[[tuple[instances.Instance, ...]], None]


class ListReader:
    """A thread that reads the instance list and passes on its rows.

    The list holds every instance, so at full size one read takes hundreds
    of kilobytes.  The pause grows with the size so that an agent's reads
    stay within a budget; jitter spreads the reads of a cell's agents, and
    heartbeats carry what one of them reads to the others.

    Parameters
    ----------
    source
        The instance list.
    interval_s
        Minimum seconds between two reads.
    bytes_per_s
        Budget of the reads.
    """

    def __init__(
        self,
        source: instances.InstanceSource,
        interval_s: float = INTERVAL_S,
        bytes_per_s: float = BYTES_PER_S,
    ) -> None:
        self.source = source
        self.interval_s = interval_s
        self.bytes_per_s = bytes_per_s
        self.callbacks: tuple[ListingCallback, ...] = ()
        self.rows: tuple[instances.Instance, ...] = ()
        self.available = True
        self.bytes_read = 0
        self.stopping = threading.Event()

    def add_callback(self, callback: ListingCallback) -> None:
        """Add a callback that gets the rows of each read."""
        self.callbacks = (*self.callbacks, callback)

    def start(self) -> None:
        """Start reading."""
        threading.Thread(
            target=self.run, name="instance-list", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop after the current read."""
        self.stopping.set()

    def run(self) -> None:
        """Read until stopped."""
        while not self.stopping.is_set():
            try:
                size = self.read_once()
            except Exception:
                # An unexpected error must not end the thread: no more
                # instances would be found.
                log.exception("listing_failed")
                size = 0
            self.stopping.wait(self.pause_s(size))

    def agents(self) -> dict[str, str]:
        """Return the addresses of the agents listed as live, by name."""
        return {
            row.name: row.address
            for row in self.rows
            if row.role == AGENT_ROLE
            and row.state is instances.ListedState.LIVE
        }

    def read_once(self) -> int:
        """Read the list and call back; return its size, 0 on failure."""
        try:
            listing = self.source.read()
        except instances.InstanceListUnavailableError as error:
            self.set_available(False, str(error))
            return 0
        self.set_available(True, "")
        self.rows = listing.instances
        self.bytes_read += listing.size
        for callback in self.callbacks:
            callback(listing.instances)
        return listing.size

    def pause_s(self, size: int) -> float:
        """Return the seconds to the next read."""
        pause_s = max(self.interval_s, size / self.bytes_per_s)
        return backoff.jittered(pause_s, JITTER)

    def set_available(self, available: bool, detail: str) -> None:
        """Log a change of the list's availability once."""
        if available == self.available:
            return
        self.available = available
        log.warning(
            "instance_list_available"
            if available
            else "instance_list_unavailable",
            detail=detail,
        )
