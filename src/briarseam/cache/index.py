"""Index of kept blocks: which may be read, and when they may be deleted.

An engine writes a block, and it is added here only after its length and
checksum are confirmed.  A freed block is first removed from the index and is
deleted at the store only when no reader is left.
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
    """The kept blocks of one session of one organisation.

    Attributes
    ----------
    blocks
        In the order in which they were added, mostly that of depth.
    used_at
        Time of the last use, by the clock of the service.
    uses
        Number of uses.
    size
        Bytes.
    valid_until
        Time until which the blocks may be used without querying the owner;
        ``inf`` at the owner.
    """

    blocks: list[state.Block]
    used_at: float
    uses: int = 1
    size: int = 0
    valid_until: float = float("inf")


@dataclasses.dataclass(slots=True)
class Pin:
    """Protects a block from deletion while it is read.

    Attributes
    ----------
    count
        Number of readers.
    expires_at
        Time by which all readers have ended.
    """

    count: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PendingDeletion:
    """A freed block that has yet to be deleted.

    Attributes
    ----------
    block
        The block.
    not_before
        Earliest time, when the copies of other agents have expired.
    """

    block: state.Block
    not_before: float


class BlockIndex:
    """Blocks by key and by group, their pins, and pending deletions.

    Parameters
    ----------
    max_blocks
        Maximum number of blocks in memory.
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
        """Return the blocks of the longest prefix of keys that is indexed.

        Parameters
        ----------
        keys
            Keys of a prompt's pieces in order.
        now
            Current time; copies of other agents' groups that have expired
            by then are not used.
        owned_group
            The prompt's group if this agent owns it, else empty.
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
        """Return whether a group may be used without querying its owner."""
        group = block.group
        return group == owned_group or self.groups[group].valid_until > now

    def add(self, block: state.Block, now: float, valid_until: float) -> bool:
        """Add a confirmed block; return whether it was added.

        A second copy of a piece is not added, nor is a freed block whose
        deletion is pending.

        Parameters
        ----------
        block
            Complete in its store, by length and checksum.
        now
            Current time.
        valid_until
            See :class:`Group`.
        """
        with self.lock:
            # Guard: a late listing or message from a peer may contain a
            # block that was freed here, which would then be read while it
            # is being deleted.  Freed names are kept until the deletion.
            if (
                block.packed in self.pending_deletions
                or block.key in self.by_key
            ):
                return False
            # Guard: a store may be replaced between a block's confirmation
            # and this call.  As an entry of the old boot the block could
            # not be read and, being indexed, would not be exported again.
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
        """Add to the bytes in a block's store."""
        self.bytes_by_store[block.store] = (
            self.bytes_by_store.get(block.store, 0) + size
        )

    def contains(self, block: state.Block) -> bool:
        """Return whether this very block is indexed, not another copy."""
        with self.lock:
            indexed = self.by_key.get(block.key)
            return indexed is not None and indexed.packed == block.packed

    def forget(self, block: state.Block) -> bool:
        """Remove a block, but don't delete it; return if it was indexed."""
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
        """Remove a block and schedule its deletion.

        Guard: a reader of a block that is deleted meanwhile gets a part of
        it or a missing name.  The block is removed from the index first,
        so it gets no new readers, and is deleted only when its current
        readers have ended, see :meth:`deletable`.

        Parameters
        ----------
        block
            The block, indexed or not.
        not_before
            Earliest time of the deletion.

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
        """Return freed blocks of a store that have no readers left."""
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
        """Return whether a block has readers."""
        pin = self.pins.get(block.packed)
        return pin is not None and pin.expires_at > now

    def finish_deletion(self, block: state.Block) -> None:
        """Record that a freed block was deleted from its store."""
        with self.lock:
            self.pending_deletions.pop(block.packed, None)
            self.pins.pop(block.packed, None)

    def pin(
        self, blocks: typing.Sequence[state.Block], expires_at: float
    ) -> int:
        """Pin the leading blocks that are indexed; return their number.

        Guard: a block may be freed between the making of a plan and its
        import.  The check and the pin are one step under the lock, so a
        block is either pinned before it is freed or not read at all.

        Parameters
        ----------
        blocks
            Blocks of a plan, in order.
        expires_at
            Time by which the reading ends.
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
        """Release one pin of each block."""
        with self.lock:
            for block in blocks:
                pin = self.pins.get(block.packed)
                if pin is None:
                    continue
                pin.count -= 1
                if pin.count <= 0:
                    del self.pins[block.packed]

    def record_use(self, group: bytes, now: float) -> None:
        """Record a use of a group."""
        with self.lock:
            indexed = self.groups.get(group)
            if indexed is not None:
                indexed.used_at = now
                indexed.uses += 1

    def evict_oldest(self, needed: int) -> None:
        """Make room in memory for a number of blocks.

        The blocks stay in the stores, and the next sweep adopts those that
        this agent owns again.
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
        """Remove the blocks that a store held before its current boot.

        Guard: a restarted store, perhaps refilled by other agents, no
        longer has its old blocks, and their entries would send engines to
        missing ones.  Each entry has the boot in which it was confirmed.

        Parameters
        ----------
        store
            Name of the store.
        boot_id
            Its current boot, whose blocks are not removed.
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
