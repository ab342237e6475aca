"""An agent's state of the configuration, shared by its threads."""

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
    """Return the time in seconds by a clock that includes suspension.

    After a suspension of the instance, the process must find that its last
    proof is old; the monotonic clock stops during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def ignore_verdict(verdict: folds.FoldVerdict, data: bytes) -> None:
    """Ignore a record's verdict."""


@dataclasses.dataclass
class Counters:
    """Counters from the start of the process, exported as metrics."""

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
    """The fold, its typed view and the recent records, under one lock.

    Parameters
    ----------
    teams
        Teams that may author changes.
    counters
        Counters of verdicts.

    Attributes
    ----------
    on_verdict
        Called with the verdict on each record that is applied, and with the
        record.
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
        """Replace the fold, unless the new one is not ahead of it.

        Returns
        -------
        bool
            Whether the fold was replaced.
        """
        with self.changed:
            # An older state, from a lagging peer or a snapshot, would revert
            # changes that callers of this instance have already seen in
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
        """Apply records that begin at offset ``first``.

        Records already applied are skipped, so a duplicate or late answer
        has no effect.
        """
        with self.changed:
            before = self.fold.offset
            for offset, record in enumerate(data, start=first):
                if offset == self.fold.offset + 1:
                    self.apply(offset, record)
            if self.fold.offset != before:
                self.publish()

    def apply(self, offset: int, record: bytes) -> None:
        """Apply the next record and count its verdict."""
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
        """Count one verdict; log those that need an operator."""
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
        """Make the new tree visible; the caller holds the lock."""
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
        """Return the records after ``after``; ``None`` if some were dropped.

        The caller holds the lock.
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
        """Wait for a record after ``after``; the caller holds the lock."""
        self.changed.wait_for(
            lambda: self.fold.offset > after, timeout=timeout_s
        )

    def digest_differs(self, offset: int, digest: str) -> bool:
        """Return whether the local fold at ``offset`` has another digest.

        A mismatch means that two agents fold the same records into different
        trees, because their team settings differ or because of a fault.  The
        local fold is kept, since the other one may be wrong.
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
