"""The blocks of a stand-in store: names, bytes and the tier they lie on."""

from __future__ import annotations

import collections
import dataclasses
import threading

from briarseam.testing import stand_in


@dataclasses.dataclass(frozen=True)
class Block:
    """One kept block.

    Attributes
    ----------
    content
        The bytes that are kept.
    checksum
        The checksum that its writer gave.
    time_ms
        Wall clock of the write.
    """

    content: bytes
    checksum: str
    time_ms: int


@dataclasses.dataclass(frozen=True)
class Read:
    """A block that was found.

    Attributes
    ----------
    block
        The block.
    from_disk
        Whether it lay on the disk tier.
    """

    block: Block
    from_disk: bool


class NameTaken(Exception):
    """A block of that name exists."""


class Full(Exception):
    """There is no room for a block."""


@dataclasses.dataclass(frozen=True)
class Tier:
    """Use of one tier in bytes."""

    used: int
    capacity: int


@dataclasses.dataclass(frozen=True)
class Tiers:
    """Use of both tiers."""

    memory: Tier
    disk: Tier


class Blocks:
    """Blocks in limited room; those used last lie in memory."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.memory: collections.OrderedDict[str, Block] = (
            collections.OrderedDict()
        )
        self.disk: dict[str, Block] = {}
        self.memory_used = 0
        self.used = 0

    def check(self, name: str, size: int, capacity: int) -> None:
        """Check that a block may be written.

        Parameters
        ----------
        name
            Its name.
        size
            Its length in bytes.
        capacity
            Room in bytes, both tiers together.

        Raises
        ------
        NameTaken
            When the name exists.
        Full
            When there is no room.
        """
        with self.lock:
            self.check_locked(name, size, capacity)

    def check_locked(self, name: str, size: int, capacity: int) -> None:
        """Do the work of :meth:`check`; call it under ``lock``.

        Parameters
        ----------
        name
            Its name.
        size
            Its length in bytes.
        capacity
            Room in bytes, both tiers together.

        Raises
        ------
        NameTaken
            When the name exists.
        Full
            When there is no room.
        """
        if name in self.memory or name in self.disk:
            raise NameTaken
        if self.used + size > capacity:
            raise Full

    def write(
        self,
        name: str,
        content: bytes,
        checksum: str,
        capacity: int,
        memory_bytes: int,
    ) -> None:
        """Keep a block.

        Parameters
        ----------
        name
            Its name.
        content
            Its bytes.
        checksum
            Its checksum.
        capacity
            Room in bytes, both tiers together.
        memory_bytes
            Room in bytes of the memory tier.

        Raises
        ------
        NameTaken
            When the name exists.
        Full
            When there is no room.
        """
        block = Block(content, checksum, stand_in.wall_ms())
        with self.lock:
            self.check_locked(name, len(content), capacity)
            self.memory[name] = block
            self.used += len(content)
            self.memory_used += len(content)
            self.demote(memory_bytes)

    def read(self, name: str, memory_bytes: int) -> Read | None:
        """Find a block and bring it into memory.

        Parameters
        ----------
        name
            Its name.
        memory_bytes
            Room in bytes of the memory tier.

        Returns
        -------
        Read or None
            ``None`` when there is none of that name.
        """
        with self.lock:
            if name in self.memory:
                self.memory.move_to_end(name)
                return Read(self.memory[name], from_disk=False)
            block = self.disk.pop(name, None)
            if block is None:
                return None
            self.memory[name] = block
            self.memory_used += len(block.content)
            self.demote(memory_bytes)
            return Read(block, from_disk=True)

    def demote(self, memory_bytes: int) -> None:
        """Move what is beyond memory to disk; call it under ``lock``.

        Parameters
        ----------
        memory_bytes
            Room in bytes of the memory tier.
        """
        while self.memory_used > memory_bytes:
            name, block = self.memory.popitem(last=False)
            self.memory_used -= len(block.content)
            self.disk[name] = block

    def delete(self, name: str) -> None:
        """Drop a block.

        Parameters
        ----------
        name
            Its name; may be absent.
        """
        with self.lock:
            block = self.memory.pop(name, None)
            if block is not None:
                self.memory_used -= len(block.content)
            else:
                block = self.disk.pop(name, None)
            if block is not None:
                self.used -= len(block.content)

    def after(self, name: str) -> list[tuple[str, Block]]:
        """List the blocks after a name.

        Parameters
        ----------
        name
            The last name not wanted.

        Returns
        -------
        list[tuple[str, Block]]
            Names and blocks in name order.
        """
        with self.lock:
            found = [
                (each, block)
                for tier in (self.memory, self.disk)
                for each, block in tier.items()
                if each > name
            ]
        return sorted(found, key=lambda pair: pair[0])

    def tiers(self, capacity: int, memory_bytes: int) -> Tiers:
        """Return how full the tiers are.

        Parameters
        ----------
        capacity
            Room in bytes, both tiers together.
        memory_bytes
            Room in bytes of the memory tier.

        Returns
        -------
        Tiers
            Use and room.
        """
        memory_room = min(memory_bytes, capacity)
        with self.lock:
            return Tiers(
                Tier(self.memory_used, memory_room),
                Tier(self.used - self.memory_used, capacity - memory_room),
            )
