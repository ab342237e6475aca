"""What a store of records returns, and how a call to it can fail."""

from __future__ import annotations

import dataclasses
import typing

# Numbers of a store's records and generations that fit into one era.
ERA_BITS = 40


def in_era(era: int, number: int) -> int:
    """Return a store's number together with its era.

    A store that returns from an older copy of itself gives out offsets and
    generations again, in a later era.  With the era in front no two are
    alike, and later ones are larger.
    """
    return (era << ERA_BITS) + number


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> ERA_BITS


def number_of(position: int) -> int:
    """Return the number that a store knows a position by."""
    return position - (era_of(position) << ERA_BITS)


class StoreUnavailableError(Exception):
    """The store did not do what was asked, as far as one can tell.

    Attributes
    ----------
    may_have_run
        Whether the call may take effect all the same, now or later.
    """

    def __init__(self, detail: str, may_have_run: bool = False) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run


class RecordsExpiredError(Exception):
    """The records asked for are no longer kept."""


class StoreRestoredError(RecordsExpiredError):
    """The store has returned from an older copy since an offset was read."""


class SupersededError(Exception):
    """The condition of a write does not hold: somebody else wrote."""


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """One change of a keyed topic.

    Attributes
    ----------
    key
        What it is about.
    value
        The new value; ``None`` when the key was dropped.
    """

    key: str
    value: bytes | None


# Stands for a record that can't be read, in the place of its offset: those
# who share reads count records by it.  It drops the key that nothing has.
UNREADABLE = KeyedRecord("", None)


@dataclasses.dataclass(frozen=True)
class KeyedBatch:
    """Changes in order, and where to read on.

    Attributes
    ----------
    records
        In order of their offsets.
    next
        Offset to read from next, in its era.
    """

    records: tuple[KeyedRecord, ...]
    next: int


@dataclasses.dataclass(frozen=True)
class GroupShare:
    """What a member of a group holds.

    Attributes
    ----------
    generation
        Grows with each change in the group, over all eras.
    parts
        Partitions that the member holds, as topic and number.
    """

    generation: int
    parts: frozenset[tuple[str, int]]


class KeyedStore(typing.Protocol):
    """Whatever keeps keyed topics."""

    def newest(self, topic: str) -> KeyedBatch:
        """Return the newest record of each key."""

    def read_keyed(self, topic: str, start: int, wait_s: float) -> KeyedBatch:
        """Return changes from an offset on, waiting for the first."""
