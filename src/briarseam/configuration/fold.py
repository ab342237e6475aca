"""The fold: every reader of the same records holds the same tree.

Nothing here depends on the schema, the release or a clock.  The verdict on
a record follows from the records before it and from the teams alone.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import typing

import msgpack

from briarseam.configuration import records
from briarseam.configuration import teams as team_types

# How far back, in offsets, a change may have been planned and an id is
# remembered.  A double of a record further back than that carries a base
# that is too old, so forgetting its id is harmless.
REPLAY_WINDOW = 4096
ABSENT = 0
DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


class RejectReason(enum.StrEnum):
    """Why a record changed nothing."""

    CONFLICT = "conflict"
    NOT_OWNED = "not-owned"
    NOT_AUTHENTIC = "not-authentic"
    MALFORMED = "malformed"
    STALE = "stale"


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change took effect, whole, at ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The change had no effect, nor will it ever have.

    Attributes
    ----------
    offset
        Where the record stands.
    reason
        Why.
    path
        First path that stood against it; empty when none did.
    winning_revision
        Offset of the change that holds the path; 0 when it is absent.
    """

    offset: int
    reason: RejectReason
    path: str = ""
    winning_revision: int = ABSENT


@dataclasses.dataclass(frozen=True)
class Duplicate:
    """The id was seen before at ``first``; that verdict stands."""

    offset: int
    first: int


@dataclasses.dataclass(frozen=True)
class StoppedUnknownVersion:
    """An authentic record of a version that this release does not know."""

    offset: int
    version: int


FoldVerdict = Accepted | Rejected | Duplicate | StoppedUnknownVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What stands at a path.

    Attributes
    ----------
    revision
        The offset that set it.
    packed
        The raw value in msgpack, a fifth of the size of its objects.
    """

    revision: int
    packed: bytes

    @property
    def value(self) -> records.Value:
        """The raw value."""
        return msgpack.unpackb(self.packed, raw=False)


def item_digest(*parts: typing.Any) -> int:
    """Return one item's share of the digest."""
    packed = msgpack.packb(parts)
    digest = hashlib.blake2b(packed, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


class Fold:
    """The tree after a prefix of the stream.

    Not safe for several threads.

    Attributes
    ----------
    offset
        Last record folded in.
    entries
        The tree by path.
    known_ids
        First offset of each id in the window, in order of offset.
    changed_paths
        Paths set or deleted since the owner last cleared it.
    stopped
        Set once an unknown version was met; nothing is folded after it.
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

        A sum over items, so that one change costs as much as it touches
        and not as much as the tree holds.
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
        """Fold in the record at ``offset``, the one after the last.

        Raises
        ------
        ValueError
            When it is not the next one.
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
        """Return the verdict on a record and carry it out."""
        try:
            envelope = records.open_envelope(data)
        except records.RecordError:
            return Rejected(offset, RejectReason.NOT_AUTHENTIC)
        # Whoever can only append to the log holds no team's key, so this
        # comes before anything that the record says is believed, its
        # version included: a forged unknown version must not stop us.
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
        """Return the verdict on an authentic change and carry it out."""
        # A copy of an old record appended again must not bring its values
        # back.  Within the window its id is known; beyond it its base, which
        # the proof covers, is too old.
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
        """Set or, with ``None``, delete one path."""
        packed = None if value is None else msgpack.packb(value)
        self.put_packed(path, revision, packed)

    def put_packed(
        self, path: str, revision: int, packed: bytes | None
    ) -> None:
        """Set or, with ``None``, delete one path by its packed value."""
        self.changed_paths.add(path)
        old = self.entries.pop(path, None)
        if old is not None:
            self.add_to_digest(-item_digest(path, old.revision, old.packed))
        if packed is not None:
            self.entries[path] = Entry(revision, packed)
            self.add_to_digest(item_digest(path, revision, packed))

    def remember_id(self, change_id: str, offset: int) -> None:
        """Remember where an id came first."""
        self.known_ids[change_id] = offset
        self.add_to_digest(item_digest(change_id, offset))

    def forget_ids(self) -> None:
        """Forget the ids that the window has passed."""
        while self.known_ids:
            change_id, first = next(iter(self.known_ids.items()))
            if self.offset - first <= REPLAY_WINDOW:
                return
            del self.known_ids[change_id]
            self.add_to_digest(-item_digest(change_id, first))

    def add_to_digest(self, amount: int) -> None:
        """Add an item's digest, negative to take it out."""
        self.digest_sum = (self.digest_sum + amount) % DIGEST_MODULUS


def dump(fold: Fold) -> bytes:
    """Return the fold's whole state as bytes."""
    entries = [
        [path, entry.revision, entry.packed]
        for path, entry in fold.entries.items()
    ]
    known_ids = list(fold.known_ids.items())
    return typing.cast(
        "bytes", msgpack.packb([fold.offset, entries, known_ids])
    )


def load(data: bytes) -> Fold:
    """Return the fold of :func:`dump`'s bytes.

    Raises
    ------
    ValueError
        When the bytes are no such state.
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
