"""Following what one store keeps."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam.placement import kept as kept_module

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

    def content(self, address: str) -> kept_module.Content:
        """Return all that a store keeps."""

    def changes(
        self, address: str, since: int, wait_s: float
    ) -> kept_module.Changes:
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
        self.since: int | None = None
        self.available = True
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f"store-{address}", daemon=True
        )

    def start(self) -> None:
        """Begin following."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the poll under way."""
        self.stopping.set()

    def run(self) -> None:
        """Follow until stopped."""
        while not self.stopping.is_set():
            try:
                self.poll()
            except StoreUnavailableError as error:
                self.note_lost(str(error))
                self.stopping.wait(RETRY_S)
                continue
            if not self.available:
                log.warning("cache_store_regained", address=self.address)
            self.available = True
            self.stopping.wait(PAUSE_S)

    def poll(self) -> None:
        """Read the content, or what changed since."""
        if self.since is None:
            content = self.stores.content(self.address)
            if self.stopping.is_set():
                return
            self.index.take_content(self.address, content)
            self.since = content.next
            log.info(
                "cache_store_read",
                address=self.address,
                epoch=content.epoch,
                parts=len(content.parts),
            )
            return
        changes = self.stores.changes(self.address, self.since, WAIT_S)
        if self.stopping.is_set():
            return
        if self.index.take_changes(self.address, changes):
            self.since = changes.next
            return
        log.warning(
            "cache_store_anew", address=self.address, epoch=changes.epoch
        )
        self.since = None

    def note_lost(self, detail: str) -> None:
        """Forget the content of a store that does not answer."""
        self.index.lose(self.address)
        self.since = None
        if self.available:
            log.warning(
                "cache_store_lost", address=self.address, detail=detail
            )
        self.available = False
