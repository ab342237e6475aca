"""Following stores through the instance that reads them."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam.placement import kept as kept_module
from briarseam.placement import store_messages as messages

if typing.TYPE_CHECKING:
    import collections.abc

# A reader that is gone without a word shows this long after, and what it
# told is trusted for little longer.
WAIT_S = 1.0
SLACK_S = 0.6
# Between two questions, so that changes come in batches.
PAUSE_S = 0.1
RETRY_S = 0.3
log = structlog.get_logger("briarseam.placement")


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
        self.available = True
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f"stores-by-{reader}", daemon=True
        )

    def start(self) -> None:
        """Begin following."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the question under way."""
        self.stopping.set()

    def run(self) -> None:
        """Follow until stopped."""
        while not self.stopping.is_set():
            try:
                self.poll()
            except ReaderUnavailableError as error:
                self.note_available(False, str(error))
                self.stopping.wait(RETRY_S)
                continue
            self.note_available(True, "")
            self.stopping.wait(PAUSE_S)

    def poll(self) -> None:
        """Ask once, and take in the answer.

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
        if self.stopping.is_set():
            return
        if not told.reads:
            raise ReaderUnavailableError("it does not read these stores")
        for store in told.stores:
            self.take(store)

    def take(self, store: messages.StoreTold) -> None:
        """Take in what is new of one store."""
        events = tuple(kept_module.PartEvent(*part) for part in store.parts)
        self.cursors[store.address] = (store.generation, store.sequence)
        if not store.readable:
            self.index.lose(store.address)
            return
        if store.whole:
            content = kept_module.Content(store.epoch, 0, events)
            self.index.take_content(store.address, content, store.age_s)
            return
        changes = kept_module.Changes(store.epoch, 0, False, events)
        if not self.index.take_changes(store.address, changes, store.age_s):
            self.cursors[store.address] = ("", 0)

    def note_available(self, available: bool, detail: str) -> None:
        """Log that the reader was lost or regained, once."""
        if available == self.available:
            return
        self.available = available
        log.warning(
            "store_reader_regained" if available else "store_reader_lost",
            reader=self.reader,
            detail=detail,
        )
