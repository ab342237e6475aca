"""The words by which events are known, and how much they worry."""

from __future__ import annotations

import enum


class Kind(enum.StrEnum):
    """What happened."""

    ACCEPTED = "accepted"
    ADMITTING = "admitting"
    CLAIMED = "claimed"
    CLAIM_ENDED = "claim-ended"
    GRANTED = "granted"
    REFUSED = "refused"
    REPLAYED = "replayed"
    IMPORTED = "imported"
    FIRST_TOKEN = "first-token"
    ENDED = "ended"
    SETTLED = "settled"
    ABANDONED = "abandoned"
    RETRIED = "retried"
    CONTINUED = "continued"
    RESUMED = "resumed"
    CONFIGURATION = "configuration"
    MEMBER = "member"
    LEAVING = "leaving"
    ORDER = "order"
    LEASE = "lease"
    STARTED = "started"
    STOPPED = "stopped"


class Tone(enum.StrEnum):
    """How an event is shown."""

    PLAIN = "plain"
    GOOD = "good"
    WARNING = "warning"
    BAD = "bad"


GOOD = frozenset({Kind.GRANTED, Kind.FIRST_TOKEN, Kind.IMPORTED})
WARNING = frozenset(
    {Kind.RETRIED, Kind.CONTINUED, Kind.RESUMED, Kind.ABANDONED}
)
GOOD_RESULTS = frozenset({"done"})
WARNING_RESULTS = frozenset({"cancelled", "not-sent", "refused"})


def tone_of(kind: str, result: object = "") -> Tone:
    """Return how an event is shown.

    Parameters
    ----------
    kind
        Its kind.
    result
        Its field ``result``, for an end.
    """
    if kind == Kind.REFUSED:
        return Tone.BAD
    if kind in (Kind.ENDED, Kind.SETTLED):
        return tone_of_result(result)
    if kind in GOOD:
        return Tone.GOOD
    return Tone.WARNING if kind in WARNING else Tone.PLAIN


def tone_of_result(result: object) -> Tone:
    """Return how a run's end is shown."""
    if result in GOOD_RESULTS:
        return Tone.GOOD
    return Tone.WARNING if result in WARNING_RESULTS else Tone.BAD
