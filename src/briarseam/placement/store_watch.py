"""Follows the content of one store."""

from __future__ import annotations

import typing

import structlog

from briarseam import polling
from briarseam.placement import kept as kept_module
from briarseam.placement import store_index

# Length of a long poll.  If it ends without an answer the store is lost; it is
# short enough to end before another store is complete at the same address.
WAIT_S = 1.0
# Pause between two polls, so that events are batched.
PAUSE_S = 0.15
RETRY_S = 0.5
log = structlog.get_logger("briarseam.placement")


class StoreUnavailableError(Exception):
    """A KV cache store gives no valid answer."""


class Stores(typing.Protocol):
    """Calls to KV cache stores."""

    def content(self, address: str) -> store_index.Content:
        """Return the complete content of a store."""

    def changes(
        self, address: str, since: int, wait_s: float
    ) -> store_index.Changes:
        """Return changes, waiting for the first one."""


class StoreWatch:
    """Follows one store until stopped.

    Parameters
    ----------
    stores
        Calls to stores.
    address
        Address of the store.
    index
        Index of all stores.
    """

    def __init__(
        self, stores: Stores, address: str, index: kept_module.KeptIndex
    ) -> None:
        self.stores = stores
        self.address = address
        self.index = index
        self.cursor: int | None = None
        self.wait_s = WAIT_S
        self.poller = polling.Poller(
            f"store-{address}",
            self.poll,
            StoreUnavailableError,
            RETRY_S,
            self.mark_unreadable,
        )

    def start(self) -> None:
        """Start following."""
        self.poller.start()

    def stop(self) -> None:
        """Stop after the current poll."""
        self.poller.stop()

    def poll(self) -> float:
        """Read the content or its changes; return the pause."""
        if self.cursor is None:
            self.read_content()
            # Nothing is fetched before the store has told its clock, which
            # its list does not.
            self.wait_s = 0.0
            return 0.0
        self.read_changes(self.cursor)
        self.wait_s = WAIT_S
        return PAUSE_S

    def read_content(self) -> None:
        """Read the complete content of the store."""
        content = self.stores.content(self.address)
        if self.poller.stopping.is_set():
            return
        self.index.apply_content(self.address, content)
        self.cursor = content.next
        log.info(
            "cache_store_read",
            address=self.address,
            epoch=content.epoch,
            parts=len(content.parts),
        )

    def read_changes(self, since: int) -> None:
        """Read the changes after an event number."""
        changes = self.stores.changes(self.address, since, self.wait_s)
        if self.poller.stopping.is_set():
            return
        if self.index.apply_changes(self.address, changes):
            self.cursor = changes.next
            return
        log.warning(
            "cache_store_anew", address=self.address, epoch=changes.epoch
        )
        self.cursor = None

    def mark_unreadable(self, error: Exception) -> None:
        """Drop the content of a store that does not answer."""
        del error
        self.index.mark_unreadable(self.address)
        self.cursor = None
