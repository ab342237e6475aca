"""Loads a fold from the log: the newest complete snapshot, then the tail."""

from __future__ import annotations

import typing

import structlog

from briarseam.configuration import fold as folds
from briarseam.configuration import records
from briarseam.configuration import snapshots

if typing.TYPE_CHECKING:
    from briarseam.backing import log as logs
    from briarseam.configuration import teams as team_types

log = structlog.get_logger("briarseam.configuration")
OnRecord = typing.Callable[["logs.Record", folds.FoldVerdict], None]


class HistoryLostError(Exception):
    """Retention removed records that no complete snapshot covers."""


def ignore(record: logs.Record, verdict: folds.FoldVerdict) -> None:
    """Ignore a record."""


def load(
    client: logs.LogClient,
    teams: team_types.Teams,
    key: bytes,
    on_record: OnRecord = ignore,
) -> folds.Fold:
    """Return the tree at the end of the log.

    Parameters
    ----------
    client
        The log.
    teams
        Teams that may author changes.
    key
        Key of the snapshots.
    on_record
        Called with each record of the tail and its verdict.

    Raises
    ------
    logs.LogUnavailableError
        When the log cannot be read.
    HistoryLostError
        When neither the records nor a snapshot of them are available.
    """
    fold = load_snapshot(client, key)
    read_tail(client, fold, teams, on_record)
    return fold


def start_over(client: logs.LogClient) -> folds.Fold:
    """Return an empty tree at the end of a log that lost its history.

    Used only by an operator who knows that no agent still holds a tree,
    because all instances were down for longer than the log's retention.

    Raises
    ------
    logs.LogUnavailableError
        When the log cannot be read.
    """
    fold = folds.Fold()
    fold.offset = client.read(records.STREAM, 0, limit=1).next - 1
    return fold


def load_snapshot(client: logs.LogClient, key: bytes) -> folds.Fold:
    """Return the fold of the newest complete snapshot, or an empty fold."""
    newest, _ = snapshots.newest_complete(client, key)
    if newest is None:
        return folds.Fold()
    try:
        return snapshots.unpack_state(
            newest.state, newest.through, newest.digest
        )
    except snapshots.SnapshotError as error:
        log.error("snapshot_unusable", id=newest.id, detail=str(error))
        return folds.Fold()


def read_tail(
    client: logs.LogClient,
    fold: folds.Fold,
    teams: team_types.Teams,
    on_record: OnRecord = ignore,
) -> None:
    """Apply the records after the fold's offset, up to the log's end.

    Raises
    ------
    logs.LogUnavailableError
        When the log cannot be read.
    HistoryLostError
        When the record after the fold's last one has been removed.
    """
    while True:
        batch = client.read(records.STREAM, fold.offset)
        check_batch(batch, fold.offset)
        for record in batch.records:
            verdict = fold.apply(record.offset, record.data, teams)
            on_record(record, verdict)
            if fold.stopped is not None:
                return
        if fold.offset + 1 >= batch.next:
            return


def check_batch(batch: logs.Batch, offset: int) -> None:
    """Check that ``batch`` continues from ``offset``.

    Raises
    ------
    HistoryLostError
        When records in between are missing, or the log ends before
        ``offset``.
    """
    # Folding over missing records would give this reader a tree that
    # differs from all others.  A log that ends before the tree has lost
    # records, and following it would revert accepted changes.
    if batch.first > offset + 1:
        raise HistoryLostError(
            f"the log starts at {batch.first}, the tree ends at {offset}"
        )
    if batch.next <= offset:
        raise HistoryLostError(
            f"the log ends before {batch.next}, the tree ends at {offset}"
        )
