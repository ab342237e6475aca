"""Publishes a change and determines its outcome."""

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
# Fraction of the settle time after which a change that has not appeared in
# the log is voided; the remaining time is for voiding it.
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
    """The outcome of the change could not be determined in time.

    Attributes
    ----------
    id
        Id of the change, to search for in the history.
    detail
        Why the outcome is unknown.
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
        Teams that may author changes; holds the author's key.
    fold
        The tree that the changes are planned on; later records are applied
        to it.
    settle_s
        Maximum time to determine the outcome of a change, in seconds.
    void_after_s
        How long the log is searched for a change whose append was not
        answered before the change is voided, in seconds; by default a
        fraction of ``settle_s``.
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
        """Publish ``change`` and return its outcome.

        The change is appended once.  If the answer is lost, the record may
        be in the log already, or arrive later or never.  The log is then
        searched for the change's id.  If it does not appear, an empty change
        with the same id is appended; every reader applies whichever of the
        two has the lower offset.  Appending the change itself again would
        be safe as well, but might bring it into force long after the
        operator gave up.

        Raises
        ------
        RecordError
            When the change is too large for the log.
        TeamsError
            When this process does not hold the author's key.
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
        """Determine the outcome of a change whose append was not answered."""
        search_deadline = min(deadline, time.monotonic() + self.void_after_s)
        outcome = self.find_outcome(change, search_deadline)
        if outcome is not None:
            return outcome
        void = dataclasses.replace(
            change, base=self.fold.offset, expects={}, sets={}
        )
        data = records.encode(void, self.teams.sign)
        while time.monotonic() < deadline:
            # The empty change is idempotent, so it is appended again until
            # it is known to be in the log.
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
        """Search the log for the change; ``None`` if it did not appear."""
        while True:
            outcome = self.read_batch(change)
            if outcome is not None or time.monotonic() >= deadline:
                return outcome

    def read_batch(self, change: records.Change) -> Outcome | None:
        """Apply one batch and return the change's outcome if it has it."""
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
        """Return the change's outcome if ``record`` determines it."""
        if isinstance(verdict, folds.StoppedUnknownVersion):
            return Unknown(
                change.id,
                f"the record at {verdict.offset} has version"
                f" {verdict.version}, which this release does not support",
            )
        recorded = records.decode_unverified(record.data)
        if recorded is None or recorded.id != change.id:
            return None
        match verdict:
            case folds.Accepted() if change.sets and not recorded.sets:
                return NotAppended("voided: the log did not answer", 0.0)
            case folds.Accepted() | folds.Rejected():
                return authentic_or_none(verdict)
        return None


def authentic_or_none(
    verdict: folds.Accepted | folds.Rejected,
) -> Outcome | None:
    """Return the verdict, or ``None`` if the record was forged."""
    match verdict:
        case folds.Rejected(reason=folds.RejectReason.NOT_AUTHENTIC):
            return None
    return verdict
