"""Which parts of prompts the stores keep, and what to fetch and save."""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam import changes
from briarseam import clocks
from briarseam.discovery import starts
from briarseam.lookup import rank
from briarseam.placement import fetching
from briarseam.placement import store_index

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.forwarding import calls
    from briarseam.routes import model as routes

# A part that was sent to be saved shows in the store's events when it is
# whole.  After this long it may be sent again.
SAVING_S = 5.0
# Saves reserve their room at once and are lost where there is none; the
# index lags by some hundred ms of other instances' saves.
FULL_SHARE = 0.97

# What was not confirmed for so long is not fetched.  A process that was
# suspended, or whose source of changes is silent, would fetch parts that a
# store has lost and is being written again.  A confirmation is at most two
# long polls of a second and their pauses old.
TRUST_S = 3.0


@dataclasses.dataclass(frozen=True)
class Saving:
    """A part that was sent to be saved.

    Attributes
    ----------
    address
        The store.
    until_s
        When it is no longer expected, by the index's clock.
    """

    address: str
    until_s: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """Where a prompt's parts come from and go to.

    Attributes
    ----------
    fetch_from, save_to
        Addresses for the parts in their order; empty for none.
    fetched_tokens
        Tokens that need not be read.
    """

    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    fetched_tokens: int = 0


NOTHING = Plan()


class KeptIndex:
    """The index over all stores; thread-safe.

    Parameters
    ----------
    clock
        Seconds.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.stores: dict[str, store_index.StoreIndex] = {}
        self.saving: dict[store_index.PartKey, Saving] = {}
        self.lock = threading.Lock()
        self.changed = changes.Change(self.lock)
        self.health = fetching.StoreHealth(clock)

    def set_stores(
        self, stores: collections.abc.Sequence[routes.StoreTraits]
    ) -> None:
        """Take in which stores there are."""
        with self.lock:
            known = self.stores
            self.stores = {}
            for traits in stores:
                index = known.get(traits.address) or store_index.StoreIndex(
                    traits
                )
                index.traits = traits
                self.stores[traits.address] = index
            self.health.keep_only(self.stores)

    def take_content(
        self, address: str, content: store_index.Content, age_s: float = 0.0
    ) -> None:
        """Take in all that a store keeps; it may be fetched from now on.

        Parameters
        ----------
        address
            The store.
        content
            What it keeps.
        age_s
            Seconds since the store told so.
        """
        with self.lock:
            index = self.stores.get(address)
            if index is None or index.is_over(content.born_ms):
                return
            if index.is_anew(content):
                self.forget_saving(address)
            index.clear()
            index.epoch = content.epoch
            index.born_ms = content.born_ms or index.born_ms
            index.readable = True
            index.confirmed_s = self.clock() - age_s
            for part in content.parts:
                index.put(part)
                self.saving.pop((part.salt, part.part), None)
            self.changed.notify_all()

    def take_changes(
        self, address: str, changes: store_index.Changes, age_s: float = 0.0
    ) -> bool:
        """Take in changes; tell whether the content is still known.

        A store that started anew lost everything.  A part of its former
        content may be written again just now, and must not be fetched
        before it is whole.
        """
        with self.lock:
            index = self.stores.get(address)
            if index is None:
                return False
            if index.is_over(changes.born_ms):
                return False
            if changes.lost or index.is_anew(changes):
                if index.is_anew(changes):
                    self.forget_saving(address)
                index.born_ms = max(index.born_ms, changes.born_ms)
                index.clear()
                index.readable = False
                self.changed.notify_all()
                return False
            index.born_ms = changes.born_ms or index.born_ms
            index.confirmed_s = self.clock() - age_s
            for event in changes.events:
                index.change(event)
                self.saving.pop((event.salt, event.part), None)
            if changes.events:
                self.changed.notify_all()
            return True

    def lose(self, address: str, born_ms: int = starts.UNKNOWN_MS) -> None:
        """Forget a store's content, since the store does not answer.

        Parameters
        ----------
        address
            The store.
        born_ms
            Of the start that does not answer, where that is known.
        """
        with self.lock:
            index = self.stores.get(address)
            if index is None or index.is_over(born_ms):
                return
            index.clear()
            index.readable = False
            self.changed.notify_all()

    def forget_saving(self, address: str) -> None:
        """Forget what a store lost while it was written; under the lock."""
        self.saving = {
            key: saving
            for key, saving in self.saving.items()
            if saving.address != address
        }

    def is_trusted(self, index: store_index.StoreIndex) -> bool:
        """Tell whether a store's content is known; under the lock."""
        age_s = self.clock() - index.confirmed_s
        return index.readable and age_s <= TRUST_S

    def plan(
        self, salt: str, parts: collections.abc.Sequence[calls.PromptPart]
    ) -> Plan:
        """Return where a prompt's shared parts come from and go to.

        A part behind one that is nowhere is of no use, since it can only
        be used if all before it are there.  One that a slow store keeps is
        not saved a second time: it is there again soon.
        """
        fetch_from: list[str] = []
        save_to: list[str] = []
        fetched = 0
        unbroken = True
        with self.lock:
            for part in parts:
                holder = self.holder_of(salt, part)
                if holder is None:
                    unbroken = False
                    save_to.append(self.place(salt, part))
                    fetch_from.append("")
                    continue
                save_to.append("")
                unbroken = unbroken and self.health.may_use(holder)
                fetch_from.append(holder if unbroken else "")
                fetched += part.tokens if unbroken else 0
        return Plan(tuple(fetch_from), tuple(save_to), fetched)

    def holder_of(self, salt: str, part: calls.PromptPart) -> str | None:
        """Return the address of a store that keeps a part whole."""
        for address, index in self.stores.items():
            if (salt, part.id) in index.held and self.is_trusted(index):
                return address
        return None

    def place(self, salt: str, part: calls.PromptPart) -> str:
        """Return where a part may be saved; empty for nowhere just now."""
        now_s = self.clock()
        saving = self.saving.get((salt, part.id))
        if saving is not None and saving.until_s > now_s:
            return ""
        candidates = [
            index
            for index in self.stores.values()
            if self.is_trusted(index)
            and not self.health.is_slow(index.traits.address)
            and index.used + part.tokens
            < index.traits.capacity_tokens * FULL_SHARE
        ]
        order = rank.ranked(
            f"{salt}/{part.id}",
            candidates,
            lambda index: index.traits.address,
            lambda index: float(index.traits.capacity_tokens),
        )
        if not order:
            return ""
        return order[0].traits.address

    def record_saves(
        self,
        salt: str,
        parts: collections.abc.Sequence[calls.PromptPart],
        save_to: collections.abc.Sequence[str],
    ) -> None:
        """Note which parts are about to be saved by a request."""
        until_s = self.clock() + SAVING_S
        with self.lock:
            for part, address in zip(parts, save_to, strict=False):
                if address:
                    self.saving[salt, part.id] = Saving(address, until_s)

    def stale(
        self, address: str, is_stale: collections.abc.Callable[[str], bool]
    ) -> tuple[int, list[store_index.PartKey]]:
        """Return a store's epoch and its parts under stale salts."""
        with self.lock:
            index = self.stores.get(address)
            if index is None or not index.readable:
                return 0, []
            found = [key for key in index.held if is_stale(key[0])]
            return index.epoch, found

    def forget_old(self) -> None:
        """Forget saves that came to nothing."""
        now_s = self.clock()
        with self.lock:
            self.saving = {
                key: saving
                for key, saving in self.saving.items()
                if saving.until_s > now_s
            }
