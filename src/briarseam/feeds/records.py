"""Records of a store, and the errors of calls to it."""

from __future__ import annotations

import dataclasses
import typing

NEVER_S = float("-inf")
# Bits of an offset or generation within one era.
ERA_BITS = 40


def in_era(era: int, number: int) -> int:
    """Return a store's number combined with its era.

    A store that is restored from a backup assigns the same offsets and
    generations again, in a later era.  With the era in the high bits they
    are unique, and later ones are larger.
    """
    return (era << ERA_BITS) + number


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> ERA_BITS


def number_of(position: int) -> int:
    """Return a position's number within its era."""
    return position - (era_of(position) << ERA_BITS)


class StoreUnavailableError(Exception):
    """A call to the store failed, or its outcome is unknown.

    Attributes
    ----------
    may_have_run
        Whether the call may still take effect, now or later.
    """

    def __init__(self, detail: str, may_have_run: bool = False) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run


class RecordsExpiredError(Exception):
    """The requested records are no longer retained."""


class StoreRestoredError(RecordsExpiredError):
    """The store was restored from a backup after an offset was read."""


class SupersededError(Exception):
    """Another writer's record broke the condition of a write."""


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """One change of a keyed topic.

    Attributes
    ----------
    key
        The key.
    value
        The new value; ``None`` if the key was deleted.
    """

    key: str
    value: bytes | None


# Takes the place of a record that can't be decoded: shared reads derive
# offsets from the number of records.  It deletes a key that never exists.
UNREADABLE = KeyedRecord("", None)


@dataclasses.dataclass(frozen=True)
class KeyedBatch:
    """Changes and the offset to continue from.

    Attributes
    ----------
    records
        Changes in order of their offsets.
    next
        Offset to read from next, combined with its era.
    complete_until_s
        Until when the topic had no other changes, by the boot clock;
        ``NEVER_S`` if that is not known.
    """

    records: tuple[KeyedRecord, ...]
    next: int
    complete_until_s: float = NEVER_S


@dataclasses.dataclass(frozen=True)
class GroupShare:
    """Partitions assigned to a member of a group.

    Attributes
    ----------
    generation
        Increases with each change in the group, across all eras.
    parts
        Topic and number of each partition.
    """

    generation: int
    parts: frozenset[tuple[str, int]]


class KeyedStore(typing.Protocol):
    """A store of keyed topics."""

    def newest(self, topic: str) -> KeyedBatch:
        """Return the newest record of each key."""

    def read_keyed(self, topic: str, start: int, wait_s: float) -> KeyedBatch:
        """Return changes from an offset on, waiting for the first."""
