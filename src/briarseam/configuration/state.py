"""What an agent holds of the configuration, for all its threads."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
import typing

import structlog

from briarseam.configuration import fold as folds
from briarseam.configuration import schema
from briarseam.configuration import views

if typing.TYPE_CHECKING:
    from briarseam.configuration import teams as team_types

MAX_RECENT_BYTES = 1024 * 1024
MAX_DIGESTS = 1024
OnVerdict = typing.Callable[[folds.FoldVerdict, bytes], None]
log = structlog.get_logger("briarseam.configuration")


def now_s() -> float:
    """Return seconds that also pass while the instance is suspended.

    A frozen process or a suspended instance must see on waking that its
    last proof is old; the monotonic clock stands still in a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def ignore_verdict(verdict: folds.FoldVerdict, data: bytes) -> None:
    """Take no note of a record."""


@dataclasses.dataclass
class Counters:
    """Counts since start; the metrics read them."""

    accepted: int = 0
    rejected: int = 0
    not_authentic: int = 0
    duplicates: int = 0
    values_not_understood: int = 0
    unknown_version: int = 0
    digest_mismatches: int = 0
    history_lost: int = 0
    log_reads: int = 0
    log_bytes: int = 0
    peer_reads: int = 0
    peer_bytes: int = 0
    state_fetches: int = 0
    snapshots_written: int = 0
    snapshots_read: int = 0


class SharedTree:
    """The fold, its typed view and the last records, under one lock.

    Parameters
    ----------
    teams
        Whose changes are believed.
    counters
        Counts verdicts.

    Attributes
    ----------
    on_verdict
        Told of each record followed, with its verdict.
    """

    def __init__(self, teams: team_types.Teams, counters: Counters) -> None:
        self.teams = teams
        self.counters = counters
        self.fold = folds.Fold()
        self.views = views.ViewBuilder()
        self.view = schema.View()
        self.loaded = False
        self.recent: collections.deque[bytes] = collections.deque()
        self.recent_bytes = 0
        self.digests: dict[int, str] = {}
        self.mismatch_at = 0
        self.on_verdict: OnVerdict = ignore_verdict
        self.changed = threading.Condition()

    def replace(self, fold: folds.Fold) -> bool:
        """Take a whole state; refuse one that ends earlier than ours."""
        with self.changed:
            # An older state, from a peer that lags or a snapshot, would
            # take back changes that callers here have already seen in
            # force.
            if self.loaded and fold.offset <= self.fold.offset:
                return False
            self.fold = fold
            self.views = views.ViewBuilder()
            self.loaded = True
            self.recent.clear()
            self.recent_bytes = 0
            self.digests.clear()
            self.publish()
            return True

    def extend(self, first: int, data: typing.Sequence[bytes]) -> None:
        """Fold in records that begin at offset ``first``.

        Those already folded are passed over, so a doubled or late answer
        changes nothing.
        """
        with self.changed:
            before = self.fold.offset
            for offset, record in enumerate(data, start=first):
                if offset == self.fold.offset + 1:
                    self.apply(offset, record)
            if self.fold.offset != before:
                self.publish()

    def apply(self, offset: int, record: bytes) -> None:
        """Fold in the next record and count its verdict."""
        if self.fold.stopped is not None:
            return
        verdict = self.fold.apply(offset, record, self.teams)
        self.count(verdict)
        self.on_verdict(verdict, record)
        if self.fold.stopped is not None:
            return
        self.recent.append(record)
        self.recent_bytes += len(record)
        while self.recent_bytes > MAX_RECENT_BYTES:
            self.recent_bytes -= len(self.recent.popleft())

    def count(self, verdict: folds.FoldVerdict) -> None:
        """Count one verdict; a line for those that need an operator."""
        match verdict:
            case folds.Accepted():
                self.counters.accepted += 1
            case folds.Duplicate():
                self.counters.duplicates += 1
            case folds.Rejected(reason=folds.RejectReason.NOT_AUTHENTIC):
                self.counters.not_authentic += 1
                log.error("change_not_authentic", offset=verdict.offset)
            case folds.Rejected():
                self.counters.rejected += 1
            case folds.StoppedUnknownVersion():
                self.counters.unknown_version += 1
                log.error(
                    "configuration_stopped",
                    offset=verdict.offset,
                    version=verdict.version,
                )

    def publish(self) -> None:
        """Make the new tree visible; the lock is held."""
        self.view = self.views.update(
            self.fold.offset, self.fold.entries, self.fold.changed_paths
        )
        self.fold.changed_paths.clear()
        self.counters.values_not_understood = len(self.views.errors)
        self.digests[self.fold.offset] = self.fold.digest
        while len(self.digests) > MAX_DIGESTS:
            del self.digests[next(iter(self.digests))]
        self.changed.notify_all()

    def records_after(
        self, after: int, max_bytes: int
    ) -> tuple[bytes, ...] | None:
        """Return records past ``after``; ``None`` when some are forgotten.

        The lock is held.
        """
        missing = self.fold.offset - after
        if missing > len(self.recent):
            return None
        records: list[bytes] = []
        size = 0
        for index in range(
            len(self.recent) - max(missing, 0), len(self.recent)
        ):
            size += len(self.recent[index])
            if records and size > max_bytes:
                break
            records.append(self.recent[index])
        return tuple(records)

    def wait_past(self, after: int, timeout_s: float) -> None:
        """Wait until the tree ends after ``after``; the lock is held."""
        self.changed.wait_for(
            lambda: self.fold.offset > after, timeout=timeout_s
        )

    def digest_differs(self, offset: int, digest: str) -> bool:
        """Tell whether our fold at ``offset`` is known to be another.

        A mismatch means that two agents fold the same records to different
        trees: settings of teams that differ, or a fault.  Our own fold is
        kept: the other may be the wrong one.
        """
        with self.changed:
            own = self.digests.get(offset)
        if own is None or own == digest:
            return False
        if offset == self.mismatch_at:
            return True
        self.mismatch_at = offset
        self.counters.digest_mismatches += 1
        log.error("digest_mismatch", offset=offset, own=own, other=digest)
        return True
