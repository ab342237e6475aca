"""Folds change records into a tree, the same for all readers.

The fold does not depend on the schema, the release or a clock: the verdict
on a record follows only from the preceding records and the teams.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import typing

import msgpack

from briarseam.configuration import records
from briarseam.configuration import teams as team_types

# Number of offsets for which ids are remembered and a change's base is
# accepted.  A copy of an older record has a base outside the window, so its
# id need not be remembered.
REPLAY_WINDOW = 4096
ABSENT = 0
DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


class RejectReason(enum.StrEnum):
    """Why a record had no effect."""

    CONFLICT = "conflict"
    NOT_OWNED = "not-owned"
    NOT_AUTHENTIC = "not-authentic"
    MALFORMED = "malformed"
    STALE = "stale"


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change took effect as a whole at ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The change had no effect and never will.

    Attributes
    ----------
    offset
        Offset of the record.
    reason
        Why it was rejected.
    path
        First path that caused the rejection; empty when none did.
    winning_revision
        Current revision of the path; 0 when it is absent.
    """

    offset: int
    reason: RejectReason
    path: str = ""
    winning_revision: int = ABSENT


@dataclasses.dataclass(frozen=True)
class Duplicate:
    """The id occurred before at ``first``, whose verdict remains valid."""

    offset: int
    first: int


@dataclasses.dataclass(frozen=True)
class StoppedUnknownVersion:
    """An authentic record of a version unknown to this release."""

    offset: int
    version: int


FoldVerdict = Accepted | Rejected | Duplicate | StoppedUnknownVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The value at a path.

    Attributes
    ----------
    revision
        Offset of the change that set it.
    packed
        The raw value in msgpack, which takes a fifth of the memory of the
        decoded objects.
    """

    revision: int
    packed: bytes

    @property
    def value(self) -> records.Value:
        """The raw value."""
        return msgpack.unpackb(self.packed, raw=False)


def item_digest(*parts: typing.Any) -> int:
    """Return one item's summand of the digest."""
    packed = msgpack.packb(parts)
    digest = hashlib.blake2b(packed, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


class Fold:
    """The tree after a prefix of the stream; not thread-safe.

    Attributes
    ----------
    offset
        Offset of the last record applied.
    entries
        The tree by path.
    known_ids
        First offset of each id in the window, in order of offset.
    changed_paths
        Paths set or deleted after the owner last cleared this set.
    stopped
        Set at a record of an unknown version, after which no record is
        applied.
    """

    def __init__(self) -> None:
        self.offset = 0
        self.entries: dict[str, Entry] = {}
        self.known_ids: dict[str, int] = {}
        self.changed_paths: set[str] = set()
        self.stopped: StoppedUnknownVersion | None = None
        self.digest_sum = 0

    @property
    def digest(self) -> str:
        """Digest of the tree and the remembered ids, in hex.

        It is a sum over items, so that the cost of an update depends on the
        size of the change and not on that of the tree.
        """
        return f"{self.digest_sum:0{2 * DIGEST_BYTES}x}"

    def revision(self, path: str) -> int:
        """Return the revision of ``path``, 0 when absent."""
        entry = self.entries.get(path)
        return entry.revision if entry else ABSENT

    def values(self) -> dict[str, records.Value]:
        """Return the raw values by path."""
        return {path: entry.value for path, entry in self.entries.items()}

    def apply(
        self, offset: int, data: bytes, teams: team_types.Teams
    ) -> FoldVerdict:
        """Apply the record at ``offset``, which follows the last one.

        Raises
        ------
        ValueError
            When ``offset`` does not follow the last one.
        """
        if self.stopped is not None:
            return self.stopped
        if offset != self.offset + 1:
            raise ValueError(f"offset {offset} after {self.offset}")
        verdict = self.evaluate(offset, data, teams)
        if isinstance(verdict, StoppedUnknownVersion):
            self.stopped = verdict
            return verdict
        self.offset = offset
        self.forget_ids()
        return verdict

    def evaluate(
        self, offset: int, data: bytes, teams: team_types.Teams
    ) -> FoldVerdict:
        """Return the verdict on a record and apply it."""
        try:
            envelope = records.open_envelope(data)
        except records.RecordError:
            return Rejected(offset, RejectReason.NOT_AUTHENTIC)
        # The proof is verified before any other part of the record is used,
        # the version included: a writer without a team's key must not be
        # able to stop the fold by a forged version.
        if not teams.verifies(
            envelope.author, envelope.signed_bytes(), envelope.proof
        ):
            return Rejected(offset, RejectReason.NOT_AUTHENTIC)
        if envelope.version != records.VERSION:
            return StoppedUnknownVersion(offset, envelope.version)
        try:
            change = records.decode_body(envelope)
        except records.RecordError:
            return Rejected(offset, RejectReason.MALFORMED)
        return self.evaluate_change(offset, change, teams)

    def evaluate_change(
        self, offset: int, change: records.Change, teams: team_types.Teams
    ) -> FoldVerdict:
        """Return the verdict on an authentic change and apply it."""
        # An old record that is appended again must not restore its values.
        # Within the window its id is known; beyond the window its base,
        # which the proof covers, is too old.
        if not offset - REPLAY_WINDOW <= change.base < offset:
            return Rejected(offset, RejectReason.STALE)
        first = self.known_ids.get(change.id)
        if first is not None:
            return Duplicate(offset, first)
        self.remember_id(change.id, offset)
        for path in change.sets:
            if teams.owner(path) != change.author:
                return Rejected(
                    offset, RejectReason.NOT_OWNED, path, self.revision(path)
                )
        for path, expected in change.expects.items():
            current = self.revision(path)
            if current != expected:
                return Rejected(offset, RejectReason.CONFLICT, path, current)
        for path, value in change.sets.items():
            self.put(path, offset, value)
        return Accepted(offset)

    def put(self, path: str, revision: int, value: records.Value) -> None:
        """Set one path, or delete it if ``value`` is ``None``."""
        packed = None if value is None else msgpack.packb(value)
        self.put_packed(path, revision, packed)

    def put_packed(
        self, path: str, revision: int, packed: bytes | None
    ) -> None:
        """Set one path to a packed value, or delete it if ``None``."""
        self.changed_paths.add(path)
        old = self.entries.pop(path, None)
        if old is not None:
            self.add_to_digest(-item_digest(path, old.revision, old.packed))
        if packed is not None:
            self.entries[path] = Entry(revision, packed)
            self.add_to_digest(item_digest(path, revision, packed))

    def remember_id(self, change_id: str, offset: int) -> None:
        """Remember the first offset of an id."""
        self.known_ids[change_id] = offset
        self.add_to_digest(item_digest(change_id, offset))

    def forget_ids(self) -> None:
        """Forget the ids that are outside the window."""
        while self.known_ids:
            change_id, first = next(iter(self.known_ids.items()))
            if self.offset - first <= REPLAY_WINDOW:
                return
            del self.known_ids[change_id]
            self.add_to_digest(-item_digest(change_id, first))

    def add_to_digest(self, amount: int) -> None:
        """Add an item's digest, or remove it if negative."""
        self.digest_sum = (self.digest_sum + amount) % DIGEST_MODULUS


def dump(fold: Fold) -> bytes:
    """Return the fold's complete state as bytes."""
    entries = [
        [path, entry.revision, entry.packed]
        for path, entry in fold.entries.items()
    ]
    known_ids = list(fold.known_ids.items())
    return typing.cast(
        "bytes", msgpack.packb([fold.offset, entries, known_ids])
    )


def load(data: bytes) -> Fold:
    """Return the fold of the bytes that :func:`dump` returned.

    Raises
    ------
    ValueError
        When the bytes are not a valid state.
    """
    fold = Fold()
    try:
        offset, entries, known_ids = msgpack.unpackb(data, raw=False)
        for path, revision, packed in entries:
            fold.put_packed(path, revision, packed)
        for change_id, first in known_ids:
            fold.remember_id(change_id, first)
    except TypeError as error:
        raise ValueError(f"not a dumped fold: {error}") from error
    fold.offset = offset
    return fold
