"""Publishes a change and finds out what became of it."""

from __future__ import annotations

import dataclasses
import time
import typing

from briarseam.backing import log as logs
from briarseam.configuration import fold as folds
from briarseam.configuration import loading
from briarseam.configuration import records

if typing.TYPE_CHECKING:
    from briarseam.configuration import teams as team_types

DEFAULT_SETTLE_S = 10.0
# Part of the time to settle after which a change that did not show is made
# void; the rest is for that.
VOID_AFTER_FRACTION = 0.3
POLL_MS = 250
RETRY_S = 0.2


@dataclasses.dataclass(frozen=True)
class NotAppended:
    """The change is not in force and never will be."""

    detail: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The log did not say in time what became of the change.

    Attributes
    ----------
    id
        The change's id, to look for in the history.
    detail
        What was lost.
    """

    id: str
    detail: str


Outcome = folds.Accepted | folds.Rejected | NotAppended | Unknown


class Publisher:
    """Publishes changes planned on one fold.

    Parameters
    ----------
    client
        The log.
    teams
        Whose changes are believed; holds the author's key.
    fold
        The tree the changes are planned on; followed on from there.
    settle_s
        How long to go on finding out what became of a change.
    void_after_s
        How long a change whose append got no answer is looked for before
        it is made void; a part of ``settle_s`` unless given.
    """

    def __init__(
        self,
        client: logs.LogClient,
        teams: team_types.Teams,
        fold: folds.Fold,
        settle_s: float = DEFAULT_SETTLE_S,
        void_after_s: float | None = None,
    ) -> None:
        self.client = client
        self.teams = teams
        self.fold = fold
        self.settle_s = settle_s
        self.void_after_s = (
            settle_s * VOID_AFTER_FRACTION
            if void_after_s is None
            else void_after_s
        )

    def apply(self, change: records.Change) -> Outcome:
        """Publish ``change`` and return what became of it.

        The change is appended once.  When the answer to that is lost, its
        record may be in the log already, may come later or never.  So the
        log is read on for its id; if it does not show, an empty change of
        the same id is appended, and whichever of the two has the lower
        offset counts at every reader.  Appending the change itself again
        would be safe too, but could bring it into force long after its
        operator gave up.

        Raises
        ------
        RecordError
            When the change is too large for the log.
        TeamsError
            When the author's key is not known here.
        """
        deadline = time.monotonic() + self.settle_s
        data = records.encode(change, self.teams.sign)
        match self.client.append(records.STREAM, data):
            case logs.AppendRefused(detail, retry_after_s):
                return NotAppended(detail, retry_after_s)
            case logs.Appended():
                return self.find_outcome(change, deadline) or Unknown(
                    change.id, "appended, but the log cannot be read"
                )
            case logs.AppendUnknown(detail):
                return self.settle(change, detail, deadline)

    def settle(
        self, change: records.Change, detail: str, deadline: float
    ) -> Outcome:
        """Find out what became of a change whose append had no answer."""
        search_deadline = min(deadline, time.monotonic() + self.void_after_s)
        outcome = self.find_outcome(change, search_deadline)
        if outcome is not None:
            return outcome
        void = dataclasses.replace(
            change, base=self.fold.offset, expects={}, sets={}
        )
        data = records.encode(void, self.teams.sign)
        while time.monotonic() < deadline:
            # A void is idempotent, so this one is sent until it is known
            # to be in the log.
            append = self.client.append(records.STREAM, data)
            if isinstance(append, logs.Appended):
                outcome = self.find_outcome(change, deadline)
                return outcome or Unknown(change.id, detail)
            outcome = self.find_outcome(change, time.monotonic() + RETRY_S)
            if outcome is not None:
                return outcome
        return Unknown(change.id, detail)

    def find_outcome(
        self, change: records.Change, deadline: float
    ) -> Outcome | None:
        """Read on for the change's id; ``None`` when it did not show."""
        while True:
            outcome = self.read_batch(change)
            if outcome is not None or time.monotonic() >= deadline:
                return outcome

    def read_batch(self, change: records.Change) -> Outcome | None:
        """Fold in one batch; return the change's outcome if it is there."""
        try:
            batch = self.client.read(records.STREAM, self.fold.offset, POLL_MS)
            loading.check_batch(batch, self.fold.offset)
        except (logs.LogUnavailableError, loading.HistoryLostError):
            time.sleep(RETRY_S)
            return None
        for record in batch.records:
            verdict = self.fold.apply(record.offset, record.data, self.teams)
            outcome = self.outcome_of(change, record, verdict)
            if outcome is not None:
                return outcome
        return None

    def outcome_of(
        self,
        change: records.Change,
        record: logs.Record,
        verdict: folds.FoldVerdict,
    ) -> Outcome | None:
        """Return the change's outcome if ``record`` settles it."""
        if isinstance(verdict, folds.StoppedUnknownVersion):
            return Unknown(
                change.id,
                f"the record at {verdict.offset} has version"
                f" {verdict.version}, which this release does not know",
            )
        recorded = records.decode_unverified(record.data)
        if recorded is None or recorded.id != change.id:
            return None
        match verdict:
            case folds.Accepted() if change.sets and not recorded.sets:
                return NotAppended("made void: the log did not answer", 0.0)
            case folds.Accepted() | folds.Rejected():
                return authentic_or_none(verdict)
        return None


def authentic_or_none(
    verdict: folds.Accepted | folds.Rejected,
) -> Outcome | None:
    """Return the verdict unless it is on a forgery of the change."""
    match verdict:
        case folds.Rejected(reason=folds.RejectReason.NOT_AUTHENTIC):
            return None
    return verdict
