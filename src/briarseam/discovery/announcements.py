"""What endpoints announce about themselves in their answers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class NoRateLimit:
    """The endpoint names no limit."""


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """The endpoint names a limit.

    Attributes
    ----------
    per_s
        Requests per second from all instances together.
    """

    per_s: float


@dataclasses.dataclass(frozen=True)
class UnreadableRateLimit:
    """The endpoint names a limit that is no valid number.

    Attributes
    ----------
    text
        What it named.
    """

    text: str


AnyRateLimit = NoRateLimit | RateLimit | UnreadableRateLimit
NO_RATE_LIMIT = NoRateLimit()


@dataclasses.dataclass(frozen=True)
class Announcements:
    """What one answer tells of its endpoint.

    Attributes
    ----------
    rate_limit
        The limit on the rate of its requests.
    rejection_limit
        How many requests per second it may reject before it fails.
    leaving
        Whether it is shutting down and accepts no new requests.
    backoff_s
        Time for which it wants no requests from this instance, in seconds;
        ``None`` if it asks for none.
    """

    rate_limit: AnyRateLimit = NO_RATE_LIMIT
    rejection_limit: AnyRateLimit = NO_RATE_LIMIT
    leaving: bool = False
    backoff_s: float | None = None


NONE = Announcements()
