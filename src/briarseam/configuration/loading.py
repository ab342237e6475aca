"""A fold from the log alone: newest whole snapshot, then the tail."""

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
    """Records that no whole snapshot covers are past the log's retention."""


def ignore(record: logs.Record, verdict: folds.FoldVerdict) -> None:
    """Take no note of a record."""


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
        Whose changes are believed.
    key
        Key of the snapshots.
    on_record
        Told of each record of the tail with its verdict.

    Raises
    ------
    logs.LogUnavailableError
        When the log cannot be read.
    HistoryLostError
        When neither the records nor a snapshot of them are left.
    """
    fold = load_snapshot(client, key)
    read_tail(client, fold, teams, on_record)
    return fold


def start_over(client: logs.LogClient) -> folds.Fold:
    """Return an empty tree at the end of a log that lost its history.

    Only for an operator who knows that no agent holds a tree any more: all
    instances were away for longer than the log keeps records.

    Raises
    ------
    logs.LogUnavailableError
        When the log cannot be read.
    """
    fold = folds.Fold()
    fold.offset = client.read(records.STREAM, 0, limit=1).next - 1
    return fold


def load_snapshot(client: logs.LogClient, key: bytes) -> folds.Fold:
    """Return the fold of the newest whole snapshot, else an empty one."""
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
    """Fold in what follows, up to the end of the log.

    Raises
    ------
    logs.LogUnavailableError
        When the log cannot be read.
    HistoryLostError
        When the record after the fold's last is gone.
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
    """Raise unless ``batch`` goes on from ``offset``.

    Raises
    ------
    HistoryLostError
        When records between are gone, or the log ends before ``offset``.
    """
    # Folding on over a hole would leave this reader alone with its own
    # tree; a log that ends earlier than what we hold has lost records, and
    # following it would take accepted changes back.
    if batch.first > offset + 1:
        raise HistoryLostError(
            f"the log starts at {batch.first}, the tree ends at {offset}"
        )
    if batch.next <= offset:
        raise HistoryLostError(
            f"the log ends before {batch.next}, the tree ends at {offset}"
        )
