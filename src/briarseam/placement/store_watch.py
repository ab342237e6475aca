"""Following what one store keeps."""

from __future__ import annotations

import typing

import structlog

from briarseam import polling
from briarseam.placement import kept as kept_module
from briarseam.placement import store_index

# Length of one long poll.  Its end without an answer shows that a store is
# gone without a word, before a new one can be whole at its address.
WAIT_S = 1.0
# Between two polls, so that events are read in batches.
PAUSE_S = 0.15
RETRY_S = 0.5
log = structlog.get_logger("briarseam.placement")


class StoreUnavailableError(Exception):
    """A store of KV cache does not answer properly."""


class Stores(typing.Protocol):
    """Calls to stores of KV cache."""

    def content(self, address: str) -> store_index.Content:
        """Return all that a store keeps."""

    def changes(
        self, address: str, since: int, wait_s: float
    ) -> store_index.Changes:
        """Return changes, waiting for the first."""


class StoreWatch:
    """Follows one store until stopped.

    Parameters
    ----------
    stores
        Calls to stores.
    address
        The store.
    index
        What is known of all stores.
    """

    def __init__(
        self, stores: Stores, address: str, index: kept_module.KeptIndex
    ) -> None:
        self.stores = stores
        self.address = address
        self.index = index
        self.cursor: int | None = None
        self.poller = polling.Poller(
            f"store-{address}",
            self.poll,
            StoreUnavailableError,
            RETRY_S,
            self.lose,
        )

    def start(self) -> None:
        """Begin following."""
        self.poller.start()

    def stop(self) -> None:
        """Stop after the poll under way."""
        self.poller.stop()

    def poll(self) -> float:
        """Read the content, or what changed since; return the pause."""
        if self.cursor is None:
            self.read_content()
        else:
            self.read_changes(self.cursor)
        return PAUSE_S

    def read_content(self) -> None:
        """Read all that the store keeps."""
        content = self.stores.content(self.address)
        if self.poller.stopping.is_set():
            return
        self.index.take_content(self.address, content)
        self.cursor = content.next
        log.info(
            "cache_store_read",
            address=self.address,
            epoch=content.epoch,
            parts=len(content.parts),
        )

    def read_changes(self, since: int) -> None:
        """Read what changed since."""
        changes = self.stores.changes(self.address, since, WAIT_S)
        if self.poller.stopping.is_set():
            return
        if self.index.take_changes(self.address, changes):
            self.cursor = changes.next
            return
        log.warning(
            "cache_store_anew", address=self.address, epoch=changes.epoch
        )
        self.cursor = None

    def lose(self, error: Exception) -> None:
        """Forget the content of a store that does not answer."""
        del error
        self.index.lose(self.address)
        self.cursor = None
