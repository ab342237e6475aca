"""Following stores through the instance that reads them."""

from __future__ import annotations

import typing

from briarseam import polling
from briarseam.placement import store_index
from briarseam.placement import store_messages as messages

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.placement import kept as kept_module

# A reader that is gone without a word shows this long after, and what it
# told is trusted for little longer.
WAIT_S = 1.0
SLACK_S = 0.6
# Between two questions, so that changes come in batches.
PAUSE_S = 0.4
RETRY_S = 0.3


class ReaderUnavailableError(Exception):
    """The instance that reads the stores does not answer, or reads none."""


class Readers(typing.Protocol):
    """Calls to instances that read stores."""

    def read_stores(
        self, reader: str, asked: messages.StoresAsked, timeout_s: float
    ) -> messages.StoresTold:
        """Ask an instance for changes.

        Raises
        ------
        ReaderUnavailableError
            When it does not answer.
        """


class SharedWatch:
    """Follows some stores through one reader until stopped.

    Parameters
    ----------
    readers
        Calls to instances that read stores.
    reader
        Name of the instance.
    addresses
        The stores.
    index
        What is known of all stores.
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
        """Begin following."""
        self.poller.start()

    def stop(self) -> None:
        """Stop after the question under way."""
        self.poller.stop()

    def poll(self) -> float:
        """Ask once, and take in the answer; return the pause.

        Raises
        ------
        ReaderUnavailableError
            When there is none.  The content stays as it is: the index
            trusts no content that is not confirmed for long.
        """
        asked = messages.StoresAsked(
            tuple(
                (address, generation, sequence)
                for address, (generation, sequence) in self.cursors.items()
            ),
            WAIT_S,
        )
        told = self.readers.read_stores(self.reader, asked, WAIT_S + SLACK_S)
        if not told.reads:
            raise ReaderUnavailableError("it does not read these stores")
        if not self.poller.stopping.is_set():
            for store in told.stores:
                self.take(store)
        return PAUSE_S

    def take(self, store: messages.StoreUpdate) -> None:
        """Take in what is new of one store."""
        events = tuple(store_index.PartEvent(*part) for part in store.parts)
        self.cursors[store.address] = (store.generation, store.sequence)
        if not store.readable:
            self.index.lose(store.address, store.born_ms)
            return
        if store.whole:
            content = store_index.Content(
                store.epoch, 0, events, store.born_ms
            )
            self.index.take_content(store.address, content, store.age_s)
            return
        changes = store_index.Changes(
            store.epoch, 0, False, events, store.born_ms
        )
        if not self.index.take_changes(store.address, changes, store.age_s):
            self.cursors[store.address] = ("", 0)
