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

GROUP_MAX_BLOCKS = 4096
FORGOTTEN_PART = 16


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
    learned_until: float = float("inf")


@dataclasses.dataclass(slots=True)
class Reading:
    """Readers of one block.

    Attributes
    ----------
    count
        How many.
    until
        When the last of them ends at the latest.
    """

    count: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Dying:
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
        self.readings: dict[bytes, Reading] = {}
        self.dying: dict[bytes, Dying] = {}
        self.stored: dict[str, int] = {}
        self.boots: dict[str, str] = {}
        self.writing: set[bytes] = set()

    def __len__(self) -> int:
        return len(self.by_key)

    def prefix(
        self, keys: typing.Iterable[bytes], now: float, own: bytes
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
        found: list[state.Block] = []
        with self.lock:
            for key in keys:
                block = self.by_key.get(key)
                if block is None or not self.usable(block, now, own):
                    break
                found.append(block)
        return found

    def usable(self, block: state.Block, now: float, own: bytes) -> bool:
        """Tell whether a block's group may be used without asking."""
        group = block.group
        return group == own or self.groups[group].learned_until > now

    def add(
        self, block: state.Block, now: float, learned_until: float
    ) -> bool:
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
            if block.packed in self.dying or block.key in self.by_key:
                return False
            # Guard: a store is replaced between a block's confirmation and
            # this; as an entry of the old boot it would never be readable
            # and, being known, never be exported again.
            if self.boots.get(block.store, block.boot_id) != block.boot_id:
                return False
            if len(self.by_key) >= self.max_blocks:
                return False
            group = self.groups.get(block.group)
            if group is None:
                group = Group([], now)
                self.groups[block.group] = group
            if len(group.blocks) >= GROUP_MAX_BLOCKS:
                return False
            group.learned_until = learned_until
            group.blocks.append(block)
            group.size += block.size
            self.by_key[block.key] = block
            self.account(block, block.size)
            return True

    def account(self, block: state.Block, size: int) -> None:
        """Keep the count of bytes per store."""
        self.stored[block.store] = self.stored.get(block.store, 0) + size

    def holds(self, block: state.Block) -> bool:
        """Tell whether exactly this block is indexed."""
        with self.lock:
            known = self.by_key.get(block.key)
            return known is not None and known.packed == block.packed

    def forget(self, block: state.Block) -> bool:
        """Take a block out without deleting it; tell whether it was in."""
        with self.lock:
            if not self.holds(block):
                return False
            known = self.by_key.pop(block.key)
            group = self.groups[block.group]
            group.blocks.remove(known)
            group.size -= known.size
            self.account(known, -known.size)
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
            was_in = self.forget(block)
            if block.packed not in self.dying:
                self.dying[block.packed] = Dying(block, not_before)
            return was_in

    def deletable(self, store: str, now: float) -> list[state.Block]:
        """Return freed blocks of a store that nobody reads any more."""
        with self.lock:
            self.readings = {
                packed: reading
                for packed, reading in self.readings.items()
                if reading.until > now
            }
            return [
                dying.block
                for dying in self.dying.values()
                if dying.block.store == store
                and dying.not_before <= now
                and not self.is_read(dying.block, now)
            ]

    def is_read(self, block: state.Block, now: float) -> bool:
        """Tell whether somebody reads a block."""
        reading = self.readings.get(block.packed)
        return reading is not None and reading.until > now

    def deleted(self, block: state.Block) -> None:
        """Note that the store no longer has a freed block."""
        with self.lock:
            self.dying.pop(block.packed, None)
            self.readings.pop(block.packed, None)

    def borrow(
        self, blocks: typing.Sequence[state.Block], until: float
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
                if not self.holds(block):
                    break
                reading = self.readings.setdefault(
                    block.packed, Reading(0, until)
                )
                reading.count += 1
                reading.until = max(reading.until, until)
                count += 1
            return count

    def give_back(self, blocks: typing.Sequence[state.Block]) -> None:
        """End the reading of blocks."""
        with self.lock:
            for block in blocks:
                reading = self.readings.get(block.packed)
                if reading is None:
                    continue
                reading.count -= 1
                if reading.count <= 0:
                    del self.readings[block.packed]

    def record_use(self, group: bytes, now: float) -> None:
        """Note that a group was wanted."""
        with self.lock:
            known = self.groups.get(group)
            if known is not None:
                known.used_at = now
                known.uses += 1

    def forget_oldest(self, room: int) -> None:
        """Make room for some blocks in memory, never in the stores.

        What is forgotten is found again by the next listing, if it is
        this agent's to keep.
        """
        with self.lock:
            over = len(self) + room - self.max_blocks
            if over <= 0:
                return
            over += self.max_blocks // FORGOTTEN_PART
            oldest = sorted(
                self.groups.values(), key=lambda group: group.used_at
            )
            for group in oldest:
                if over <= 0:
                    return
                over -= len(group.blocks)
                for block in list(group.blocks):
                    self.forget(block)

    def drop_boot(self, store: str, boot_id: str) -> list[state.Block]:
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
            self.boots[store] = boot_id
            gone = [
                block
                for block in self.by_key.values()
                if block.store == store and block.boot_id != boot_id
            ]
            for block in gone:
                self.forget(block)
            self.dying = {
                packed: dying
                for packed, dying in self.dying.items()
                if dying.block.store != store or dying.block.boot_id == boot_id
            }
            return gone
