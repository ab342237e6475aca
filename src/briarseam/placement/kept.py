"""Index of the parts that stores keep; plans what to fetch and save."""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam import changes
from briarseam import clocks
from briarseam.discovery import starts
from briarseam.lookup import rank
from briarseam.placement import endpoint_clocks
from briarseam.placement import fetch_leases
from briarseam.placement import fetching
from briarseam.placement import store_index

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.forwarding import calls
    from briarseam.routes import model as routes

# A saved part appears in the store's events once it is complete.  After this
# time it may be saved again.
SAVE_TIMEOUT_S = 5.0
# A save reserves its space at once and fails if there is none; other
# instances' saves appear in the index some hundred ms late.
MAX_USED_SHARE = 0.97

# Content that was not confirmed for this long is not fetched.  A process that
# was suspended or receives no changes would fetch parts that a store has lost
# and that are being written again.  A confirmation is at most two long polls
# of 1 s and their pauses old.
MAX_AGE_S = 3.0
# Nothing is saved to a store that has restarted for this time.  Instances that
# don't know of the restart may plan fetches of its former content, which take
# what is written there now.
RESTART_WAIT_S = (
    MAX_AGE_S + fetch_leases.FETCH_LIMIT_S + fetch_leases.CLOCK_SLACK_S
)
# How long a part is rather saved to other stores than to one where saving it
# broke off: the store keeps what was written and rejects another save.
BROKEN_SAVE_S = 60.0
# Callers choose the ids of parts, and how many they name.
MAX_ID_CHARACTERS = 200
MAX_PENDING_SAVES = 20_000

AllowsStore = typing.Callable[["routes.StoreTraits"], bool]


def allow_all(store: routes.StoreTraits) -> bool:
    """Return that a prompt may be transferred from and to any store."""
    del store
    return True


@dataclasses.dataclass(frozen=True)
class PendingSave:
    """A part that is being saved.

    Attributes
    ----------
    address
        Address of the store.
    until_s
        Time after which the save counts as failed, by the index's clock.
    """

    address: str
    until_s: float


@dataclasses.dataclass(frozen=True)
class TransferPlan:
    """Stores that a prompt's parts are fetched from and saved to.

    Attributes
    ----------
    fetch_from, save_to
        Store addresses in the order of the parts; empty for none.
    fetched_tokens
        Tokens that need no prefill.
    """

    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    fetched_tokens: int = 0


NO_TRANSFERS = TransferPlan()


class KeptIndex:
    """Index of all stores' parts; thread-safe.

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
        self.pending_saves: dict[store_index.PartKey, PendingSave] = {}
        # Until when a part is not saved to a store, by part and address.
        self.broken_saves: dict[tuple[store_index.PartKey, str], float] = {}
        self.lock = threading.Lock()
        self.changed = changes.Change(self.lock)
        self.health = fetching.StoreHealth(clock)
        self.endpoint_clocks = endpoint_clocks.EndpointClocks(clock)

    def set_stores(
        self, stores: collections.abc.Sequence[routes.StoreTraits]
    ) -> None:
        """Replace the list of stores; known ones keep their index."""
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
            self.endpoint_clocks.keep_only(self.stores)

    def apply_content(
        self, address: str, content: store_index.Content, age_s: float = 0.0
    ) -> None:
        """Replace the content of a store and mark it readable.

        Parameters
        ----------
        address
            Address of the store.
        content
            Its content.
        age_s
            Seconds since the store reported it.
        """
        with self.lock:
            index = self.stores.get(address)
            if index is None or index.is_superseded(content.born_ms):
                return
            if index.is_restart(content):
                self.forget_saves(address)
                if index.generation:
                    index.saves_from_s = self.clock() + RESTART_WAIT_S
            index.clear()
            index.epoch = content.epoch
            index.born_ms = content.born_ms or index.born_ms
            index.readable = True
            index.confirmed_s = self.clock() - age_s
            self.record_clock(address, content.clock_ms)
            for part in content.parts:
                index.set_part(part)
                self.pending_saves.pop((part.salt, part.part), None)
            self.changed.notify_all()

    def apply_changes(
        self, address: str, changes: store_index.Changes, age_s: float = 0.0
    ) -> bool:
        """Apply changes; return whether the content is still known.

        A restarted store has lost all content.  A part of it may be being
        written again and must not be fetched before it is complete.
        """
        with self.lock:
            index = self.stores.get(address)
            if index is None:
                return False
            if index.is_superseded(changes.born_ms):
                return False
            if changes.lost or index.is_restart(changes):
                if index.is_restart(changes):
                    self.forget_saves(address)
                index.born_ms = max(index.born_ms, changes.born_ms)
                index.clear()
                index.readable = False
                self.changed.notify_all()
                return False
            index.born_ms = changes.born_ms or index.born_ms
            index.confirmed_s = self.clock() - age_s
            self.record_clock(address, changes.clock_ms)
            for event in changes.events:
                index.record_change(event)
                self.pending_saves.pop((event.salt, event.part), None)
            if changes.events:
                self.changed.notify_all()
            return True

    def record_clock(self, address: str, shown_ms: float) -> None:
        """Record what a store's clock showed; requires the lock."""
        if shown_ms > 0:
            self.endpoint_clocks.record(address, shown_ms)

    def mark_unreadable(
        self, address: str, born_ms: int = starts.UNKNOWN_MS
    ) -> None:
        """Drop the content of a store that does not answer.

        Parameters
        ----------
        address
            Address of the store.
        born_ms
            Start time of the store's process that does not answer, if known.
        """
        with self.lock:
            index = self.stores.get(address)
            if index is None or index.is_superseded(born_ms):
                return
            index.clear()
            index.readable = False
            self.changed.notify_all()

    def forget_saves(self, address: str) -> None:
        """Drop a restarted store's pending saves; requires the lock."""
        self.pending_saves = {
            key: saving
            for key, saving in self.pending_saves.items()
            if saving.address != address
        }
        self.broken_saves = {
            key: until_s
            for key, until_s in self.broken_saves.items()
            if key[1] != address
        }

    def is_confirmed(self, index: store_index.StoreIndex) -> bool:
        """Return whether a store's content is known; requires the lock."""
        age_s = self.clock() - index.confirmed_s
        return index.readable and age_s <= MAX_AGE_S

    def plan(
        self,
        salt: str,
        parts: collections.abc.Sequence[calls.PromptPart],
        allows: AllowsStore = allow_all,
        may_fetch: bool = True,
    ) -> TransferPlan:
        """Plan where a prompt's shared parts are fetched from and saved to.

        A part can only be used if all parts before it are available, so
        parts after a missing one are not fetched.  A part at a slow store is
        not saved elsewhere, because slow stores usually recover soon.

        Parameters
        ----------
        salt, parts
            The parts.
        allows
            Returns whether the prompt may be transferred from and to a
            store.
        may_fetch
            Whether parts may be fetched at all.
        """
        fetch_from: list[str] = []
        save_to: list[str] = []
        fetched = 0
        contiguous = may_fetch
        with self.lock:
            for part in parts:
                holder = self.holder_of(salt, part, allows)
                if holder is None:
                    contiguous = False
                    save_to.append(self.save_target(salt, part, allows))
                    fetch_from.append("")
                    continue
                save_to.append("")
                contiguous = contiguous and self.health.may_use(holder)
                fetch_from.append(holder if contiguous else "")
                fetched += part.tokens if contiguous else 0
        return TransferPlan(tuple(fetch_from), tuple(save_to), fetched)

    def holder_of(
        self,
        salt: str,
        part: calls.PromptPart,
        allows: AllowsStore = allow_all,
    ) -> str | None:
        """Return the address of a store that keeps a complete part."""
        for address, index in self.stores.items():
            if (
                (salt, part.id) in index.held
                and self.is_confirmed(index)
                and allows(index.traits)
            ):
                return address
        return None

    def save_target(
        self,
        salt: str,
        part: calls.PromptPart,
        allows: AllowsStore = allow_all,
    ) -> str:
        """Return the store to save a part to; empty for none."""
        if len(part.id) > MAX_ID_CHARACTERS:
            return ""
        now_s = self.clock()
        key = (salt, part.id)
        saving = self.pending_saves.get(key)
        if saving is not None:
            if saving.until_s > now_s:
                return ""
            self.record_broken_save(key)
        candidates = [
            index
            for index in self.stores.values()
            if self.is_confirmed(index)
            and now_s >= index.saves_from_s
            and allows(index.traits)
            and not self.health.is_slow(index.traits.address)
            and index.used + part.tokens
            < index.traits.capacity_tokens * MAX_USED_SHARE
        ]
        unbroken = [
            index
            for index in candidates
            if (key, index.traits.address) not in self.broken_saves
        ]
        ranked = rank.ranked(
            f"{salt}/{part.id}",
            unbroken or candidates,
            lambda index: index.traits.address,
            lambda index: float(index.traits.capacity_tokens),
        )
        if not ranked:
            return ""
        return ranked[0].traits.address

    def record_broken_save(self, key: store_index.PartKey) -> None:
        """Record that a pending save timed out; requires the lock."""
        address = self.pending_saves.pop(key).address
        if len(self.broken_saves) < MAX_PENDING_SAVES:
            self.broken_saves[key, address] = self.clock() + BROKEN_SAVE_S

    def record_saves(
        self,
        salt: str,
        parts: collections.abc.Sequence[calls.PromptPart],
        save_to: collections.abc.Sequence[str],
    ) -> None:
        """Record the parts that a request is about to save."""
        until_s = self.clock() + SAVE_TIMEOUT_S
        with self.lock:
            for part, address in zip(parts, save_to, strict=False):
                if address:
                    self.pending_saves[salt, part.id] = PendingSave(
                        address, until_s
                    )
            while len(self.pending_saves) > MAX_PENDING_SAVES:
                del self.pending_saves[next(iter(self.pending_saves))]

    def stale_parts(
        self, address: str, is_stale: collections.abc.Callable[[str], bool]
    ) -> tuple[int, list[store_index.PartKey]]:
        """Return a store's epoch, and its parts with stale salts."""
        with self.lock:
            index = self.stores.get(address)
            if index is None or not index.readable:
                return 0, []
            stale = [key for key in index.held if is_stale(key[0])]
            return index.epoch, stale

    def record_freed(
        self,
        address: str,
        epoch: int,
        parts: collections.abc.Iterable[store_index.PartKey],
    ) -> None:
        """Drop parts that a store has freed on request."""
        with self.lock:
            index = self.stores.get(address)
            if index is None or index.epoch != epoch:
                return
            for key in parts:
                if key in index.held:
                    index.record_change(store_index.PartEvent(*key, 0))
            self.changed.notify_all()

    def forget_old(self) -> None:
        """Drop pending saves that have timed out, and old broken ones."""
        now_s = self.clock()
        with self.lock:
            timed_out = [
                key
                for key, saving in self.pending_saves.items()
                if saving.until_s <= now_s
            ]
            for key in timed_out:
                self.record_broken_save(key)
            self.broken_saves = {
                key: until_s
                for key, until_s in self.broken_saves.items()
                if until_s > now_s
            }
