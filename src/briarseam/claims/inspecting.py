"""Reads the state of one key from the log, for operators."""

from __future__ import annotations

import dataclasses
import datetime
import typing

from briarseam.backing import log as platform_log
from briarseam.claims import fold as folds
from briarseam.claims import keys
from briarseam.claims import options
from briarseam.claims import records

NEVER_SEEN = "never seen"
TOO_OLD = "too old"


@dataclasses.dataclass(frozen=True)
class KeyReport:
    """State of a key according to the log.

    Attributes
    ----------
    organisation, key
        The organisation and key that were looked up.
    standing
        ``never seen``, ``too old``, ``free``, ``claimed``, ``lost`` or
        ``done``.
    made_at, claimed_at
        Time in the key itself and the log's time of the winning claim,
        in ISO 8601; empty if there is none.
    attempt
        The attempt that holds the key; also its run id at the endpoint.
    instance, incarnation
        The agent that won the key, and its incarnation.
    status
        HTTP status of the outcome; 0 while there is none.
    given_up
        Attempts that certainly did not run.
    """

    organisation: str
    key: str
    standing: str
    made_at: str
    claimed_at: str = ""
    attempt: str = ""
    instance: str = ""
    incarnation: str = ""
    status: int = 0
    given_up: tuple[str, ...] = ()


def inspect(
    log: platform_log.LogClient,
    window: keys.Window,
    organisation: str,
    key: keys.Key,
) -> KeyReport:
    """Read a key's state from the log.

    Raises
    ------
    platform_log.LogUnavailableError
        If the log cannot be read.
    records.UnknownVersionError
        If a later release wrote to the stream.
    """
    number = keys.shard_of(organisation, key.text, options.SHARDS)
    fold = folds.Fold(window)
    for record in read_all(log, options.stream_name(number)):
        fold.advance(record.time_ms)
        try:
            batch = records.decode(record.data)
        except records.UnreadableError:
            continue
        for item in batch.items:
            if isinstance(item, records.Claim):
                fold.claim(item)
            else:
                fold.settle(item)
    return report(fold, organisation, key)


def read_all(
    log: platform_log.LogClient, stream: str
) -> typing.Iterator[platform_log.Record]:
    """Yield the records of a stream up to its present end."""
    after = 0
    while True:
        batch = log.read(stream, after)
        yield from batch.records
        if not batch.records:
            return
        after = batch.records[-1].offset


def report(fold: folds.Fold, organisation: str, key: keys.Key) -> KeyReport:
    """Return the report on a key from a fold."""
    made_at = time_text(key.time_ms)
    if fold.is_expired(key.time_ms):
        return KeyReport(organisation, key.text, TOO_OLD, made_at)
    state = fold.find(organisation, key.text)
    if state is None:
        return KeyReport(organisation, key.text, NEVER_SEEN, made_at)
    claim = state.claim
    return KeyReport(
        organisation,
        key.text,
        state.standing.value,
        made_at,
        claimed_at=time_text(state.claimed_ms) if claim else "",
        attempt=state.attempt,
        instance=claim.holder if claim else "",
        incarnation=claim.incarnation if claim else "",
        status=state.outcome.status if state.outcome else 0,
        given_up=state.void_attempts,
    )


def time_text(time_ms: int) -> str:
    """Format a time in ms since the epoch as ISO 8601 in UTC."""
    when = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    return when.isoformat(timespec="milliseconds")
