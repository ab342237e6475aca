"""Follows the content of stores through an instance that reads them."""

from __future__ import annotations

import typing

from briarseam import polling
from briarseam.placement import store_index
from briarseam.placement import store_messages as messages

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.placement import kept as kept_module

# Longest wait for an answer.  It bounds the time to detect a lost reader,
# whose last answer is trusted for little longer.
WAIT_S = 1.0
SLACK_S = 0.6
# Pause between two queries, so that changes are batched.
PAUSE_S = 0.4
RETRY_S = 0.3


class ReaderUnavailableError(Exception):
    """The reader does not answer, or does not read these stores."""


class Readers(typing.Protocol):
    """Calls to instances that read stores directly."""

    def read_stores(
        self, reader: str, query: messages.StoresAsked, timeout_s: float
    ) -> messages.StoresTold:
        """Query an instance for changes.

        Raises
        ------
        ReaderUnavailableError
            If it does not answer.
        """


class SharedWatch:
    """Follows some stores through one reader until stopped.

    Parameters
    ----------
    readers
        Calls to instances that read stores directly.
    reader
        Name of the reader.
    addresses
        Addresses of the stores.
    index
        Index of all stores.
    """

    def __init__(
        self,
        readers: Readers,
        reader: str,
        addresses: collections.abc.Iterable[str],
        index: kept_module.KeptIndex,
    ) -> None:
        self.readers = readers
        self.reader = reader
        self.index = index
        self.cursors = {address: ("", 0) for address in sorted(addresses)}
        self.poller = polling.Poller(
            f"stores-by-{reader}",
            self.poll,
            ReaderUnavailableError,
            RETRY_S,
        )

    def start(self) -> None:
        """Start following."""
        self.poller.start()

    def stop(self) -> None:
        """Stop after the current query."""
        self.poller.stop()

    def poll(self) -> float:
        """Query the reader once and apply the reply; return the pause.

        Raises
        ------
        ReaderUnavailableError
            If there is no reply.  The index keeps the content, which expires
            unless it is confirmed.
        """
        query = messages.StoresAsked(
            tuple(
                (address, generation, sequence)
                for address, (generation, sequence) in self.cursors.items()
            ),
            WAIT_S,
        )
        reply = self.readers.read_stores(self.reader, query, WAIT_S + SLACK_S)
        if not reply.reads:
            raise ReaderUnavailableError(
                "the instance does not read these stores"
            )
        if not self.poller.stopping.is_set():
            for store in reply.stores:
                self.apply(store)
        return PAUSE_S

    def apply(self, store: messages.StoreUpdate) -> None:
        """Apply the update of one store."""
        events = tuple(store_index.PartEvent(*part) for part in store.parts)
        self.cursors[store.address] = (store.generation, store.sequence)
        if not store.readable:
            self.index.mark_unreadable(store.address, store.born_ms)
            return
        if store.whole:
            content = store_index.Content(
                store.epoch, 0, events, store.born_ms, store.clock_ms
            )
            self.index.apply_content(store.address, content, store.age_s)
            return
        changes = store_index.Changes(
            store.epoch, 0, False, events, store.born_ms, store.clock_ms
        )
        if not self.index.apply_changes(store.address, changes, store.age_s):
            self.cursors[store.address] = ("", 0)
