"""Lists past changes with their author, time and verdict."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.configuration import fold as folds
from briarseam.configuration import loading
from briarseam.configuration import records
from briarseam.configuration import snapshots

if typing.TYPE_CHECKING:
    from briarseam.backing import log as logs
    from briarseam.configuration import teams as team_types


@dataclasses.dataclass(frozen=True)
class Event:
    """A record of the stream with its verdict.

    Attributes
    ----------
    offset
        Offset of the record.
    time_ms
        Time by the log's clock, in ms since the epoch.
    team, operator, id
        Author and id of the change; empty when the record is not authentic.
    verdict
        The verdict on the record.
    sets
        Values by path; ``None`` deletes.
    """

    offset: int
    time_ms: int
    team: str
    operator: str
    id: str
    verdict: folds.FoldVerdict
    sets: typing.Mapping[str, typing.Any]


def read(
    client: logs.LogClient, teams: team_types.Teams, key: bytes
) -> tuple[Event, ...]:
    """Return the events that the log retains and that can be evaluated.

    Evaluation begins at the start of the stream or, once retention has
    removed that, at the oldest snapshot that covers the removed records.

    Raises
    ------
    logs.LogUnavailableError
        When the log cannot be read.
    loading.HistoryLostError
        When no snapshot covers the records before the oldest one.
    """
    events: list[Event] = []

    def record_event(record: logs.Record, verdict: folds.FoldVerdict) -> None:
        events.append(make_event(record, verdict))

    loading.read_tail(client, oldest_fold(client, key), teams, record_event)
    return tuple(events)


def oldest_fold(client: logs.LogClient, key: bytes) -> folds.Fold:
    """Return the earliest fold from which the log can be read."""
    first = client.read(records.STREAM, 0, limit=1).first
    if first == 1:
        return folds.Fold()
    oldest = snapshots.oldest_complete(client, key, first - 1)
    if oldest is None:
        return folds.Fold()
    return snapshots.unpack_state(oldest.state, oldest.through, oldest.digest)


def make_event(record: logs.Record, verdict: folds.FoldVerdict) -> Event:
    """Return a record and its verdict as an event."""
    change = records.decode_unverified(record.data)
    match verdict:
        # The author named in a forged record can't be trusted.
        case folds.Rejected(reason=folds.RejectReason.NOT_AUTHENTIC):
            change = None
    return Event(
        offset=record.offset,
        time_ms=record.time_ms,
        team=change.author if change else "",
        operator=change.operator if change else "",
        id=change.id if change else "",
        verdict=verdict,
        sets=change.sets if change else {},
    )
