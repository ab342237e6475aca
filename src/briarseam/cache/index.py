"""The index of kept blocks: what may be read, and when it may be deleted.

A block's life: written by an engine, confirmed by length and checksum, and
only then added here; freed by leaving the index first, then waiting for
whoever reads it, and only then deleted at the store.
"""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam.cache import state

MAX_GROUP_BLOCKS = 4096
EVICTION_DIVISOR = 16


@dataclasses.dataclass(slots=True)
class Group:
    """The blocks that one session of one organisation has kept.

    Attributes
    ----------
    blocks
        In order of being added, which is mostly that of depth.
    used_at
        Last time it was wanted, by the clock of the service.
    uses
        How often it was wanted.
    size
        Bytes.
    learned_until
        When this agent doesn't own the group: how long its copy may be
        used without asking the owner; ``inf`` at the owner.
    """

    blocks: list[state.Block]
    used_at: float
    uses: int = 1
    size: int = 0
    valid_until: float = float("inf")


@dataclasses.dataclass(slots=True)
class Pin:
    """Readers of one block.

    Attributes
    ----------
    count
        How many.
    until
        When the last of them ends at the latest.
    """

    count: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PendingDeletion:
    """A freed block that is to be deleted.

    Attributes
    ----------
    block
        The block.
    not_before
        Earliest time, so that other agents' copies have run out.
    """

    block: state.Block
    not_before: float


class BlockIndex:
    """Blocks by key and by group, their readers, and those to delete.

    Parameters
    ----------
    max_blocks
        Most blocks kept in memory.
    """

    def __init__(self, max_blocks: int) -> None:
        self.max_blocks = max_blocks
        self.lock = threading.RLock()
        self.by_key: dict[bytes, state.Block] = {}
        self.groups: dict[bytes, Group] = {}
        self.pins: dict[bytes, Pin] = {}
        self.pending_deletions: dict[bytes, PendingDeletion] = {}
        self.bytes_by_store: dict[str, int] = {}
        self.boot_ids: dict[str, str] = {}
        self.in_flight_writes: set[bytes] = set()

    def __len__(self) -> int:
        return len(self.by_key)

    def longest_prefix(
        self, keys: typing.Iterable[bytes], now: float, owned_group: bytes
    ) -> list[state.Block]:
        """Return the blocks of the longest run of known keys.

        Parameters
        ----------
        keys
            Keys of a prompt's pieces in order.
        now
            Copies of other agents' groups that have run out don't count.
        own
            The prompt's group when this agent owns it, else empty.
        """
        blocks: list[state.Block] = []
        with self.lock:
            for key in keys:
                block = self.by_key.get(key)
                if block is None or not self.usable(block, now, owned_group):
                    break
                blocks.append(block)
        return blocks

    def usable(
        self, block: state.Block, now: float, owned_group: bytes
    ) -> bool:
        """Tell whether a block's group may be used without asking."""
        group = block.group
        return group == owned_group or self.groups[group].valid_until > now

    def add(self, block: state.Block, now: float, valid_until: float) -> bool:
        """Add a block that is confirmed; tell whether it was taken.

        A second copy of a piece is not taken; nor is a block that has
        been freed and waits for its deletion.

        Parameters
        ----------
        block
            Whole at its store, by length and checksum.
        now
            The present.
        learned_until
            See :class:`Group`.
        """
        with self.lock:
            # Guard: a listing or a peer's message that is late brings back
            # a block that was freed here.  It would be read while it is
            # being deleted.  Freed names stay known until they are gone.
            if (
                block.packed in self.pending_deletions
                or block.key in self.by_key
            ):
                return False
            # Guard: a store is replaced between a block's confirmation and
            # this; as an entry of the old boot it would never be readable
            # and, being known, never be exported again.
            if self.boot_ids.get(block.store, block.boot_id) != block.boot_id:
                return False
            if len(self.by_key) >= self.max_blocks:
                return False
            group = self.groups.get(block.group)
            if group is None:
                group = Group([], now)
                self.groups[block.group] = group
            if len(group.blocks) >= MAX_GROUP_BLOCKS:
                return False
            group.valid_until = valid_until
            group.blocks.append(block)
            group.size += block.size
            self.by_key[block.key] = block
            self.add_stored_bytes(block, block.size)
            return True

    def add_stored_bytes(self, block: state.Block, size: int) -> None:
        """Keep the count of bytes per store."""
        self.bytes_by_store[block.store] = (
            self.bytes_by_store.get(block.store, 0) + size
        )

    def contains(self, block: state.Block) -> bool:
        """Tell whether exactly this block is indexed."""
        with self.lock:
            indexed = self.by_key.get(block.key)
            return indexed is not None and indexed.packed == block.packed

    def forget(self, block: state.Block) -> bool:
        """Take a block out without deleting it; tell whether it was in."""
        with self.lock:
            if not self.contains(block):
                return False
            indexed = self.by_key.pop(block.key)
            group = self.groups[block.group]
            group.blocks.remove(indexed)
            group.size -= indexed.size
            self.add_stored_bytes(indexed, -indexed.size)
            if not group.blocks:
                del self.groups[block.group]
            return True

    def free(self, block: state.Block, not_before: float) -> bool:
        """Take a block out and let it be deleted later.

        Guard: a block deleted while it is read would be read in part, or
        as a name that is gone.  It leaves the index first, so no new
        reader finds it, and is deleted only when those that had it have
        ended, see :meth:`deletable`.

        Parameters
        ----------
        block
            The block; it need not be indexed.
        not_before
            Earliest time of its deletion.

        Returns
        -------
        bool
            Whether it was indexed.
        """
        with self.lock:
            was_indexed = self.forget(block)
            if block.packed not in self.pending_deletions:
                self.pending_deletions[block.packed] = PendingDeletion(
                    block, not_before
                )
            return was_indexed

    def deletable(self, store: str, now: float) -> list[state.Block]:
        """Return freed blocks of a store that nobody reads any more."""
        with self.lock:
            self.pins = {
                packed: pin
                for packed, pin in self.pins.items()
                if pin.expires_at > now
            }
            return [
                deletion.block
                for deletion in self.pending_deletions.values()
                if deletion.block.store == store
                and deletion.not_before <= now
                and not self.is_pinned(deletion.block, now)
            ]

    def is_pinned(self, block: state.Block, now: float) -> bool:
        """Tell whether somebody reads a block."""
        pin = self.pins.get(block.packed)
        return pin is not None and pin.expires_at > now

    def finish_deletion(self, block: state.Block) -> None:
        """Note that the store no longer has a freed block."""
        with self.lock:
            self.pending_deletions.pop(block.packed, None)
            self.pins.pop(block.packed, None)

    def pin(
        self, blocks: typing.Sequence[state.Block], expires_at: float
    ) -> int:
        """Begin to read blocks; return how many from the first on.

        Guard: a plan is made before it is carried out; in between a block
        may have been freed.  The check and the count are one step under
        the lock, so a block is either read by then or not at all.

        Parameters
        ----------
        blocks
            As planned.
        until
            When the reading ends at the latest.
        """
        with self.lock:
            count = 0
            for block in blocks:
                if not self.contains(block):
                    break
                pin = self.pins.setdefault(block.packed, Pin(0, expires_at))
                pin.count += 1
                pin.expires_at = max(pin.expires_at, expires_at)
                count += 1
            return count

    def unpin(self, blocks: typing.Sequence[state.Block]) -> None:
        """End the reading of blocks."""
        with self.lock:
            for block in blocks:
                pin = self.pins.get(block.packed)
                if pin is None:
                    continue
                pin.count -= 1
                if pin.count <= 0:
                    del self.pins[block.packed]

    def record_use(self, group: bytes, now: float) -> None:
        """Note that a group was wanted."""
        with self.lock:
            known = self.groups.get(group)
            if known is not None:
                known.used_at = now
                known.uses += 1

    def evict_oldest(self, needed: int) -> None:
        """Make room for some blocks in memory, never in the stores.

        What is forgotten is found again by the next listing, if it is
        this agent's to keep.
        """
        with self.lock:
            excess = len(self) + needed - self.max_blocks
            if excess <= 0:
                return
            excess += self.max_blocks // EVICTION_DIVISOR
            oldest = sorted(
                self.groups.values(), key=lambda group: group.used_at
            )
            for group in oldest:
                if excess <= 0:
                    return
                excess -= len(group.blocks)
                for block in list(group.blocks):
                    self.forget(block)

    def drop_earlier_boots(
        self, store: str, boot_id: str
    ) -> list[state.Block]:
        """Forget what a store held before its present boot.

        Guard: a store that came back, perhaps refilled by others, no
        longer holds what it held.  Its entries would send engines to
        blocks that are gone.  Every entry carries the boot it was
        confirmed in.

        Parameters
        ----------
        store
            Name of the store.
        boot_id
            Its present boot; what is of this boot stays.
        """
        with self.lock:
            self.boot_ids[store] = boot_id
            dropped = [
                block
                for block in self.by_key.values()
                if block.store == store and block.boot_id != boot_id
            ]
            for block in dropped:
                self.forget(block)
            self.pending_deletions = {
                packed: deletion
                for packed, deletion in self.pending_deletions.items()
                if deletion.block.store != store
                or deletion.block.boot_id == boot_id
            }
            return dropped
