"""Outcomes of an attempt to acquire a lease."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Held:
    """The caller holds the lease under this fencing number."""

    fence: int


@dataclasses.dataclass(frozen=True)
class NotHeld:
    """Another process holds the lease, or acquired it first.

    Attributes
    ----------
    holder
        The holder; empty if unknown.
    retry_after_s
        Seconds after which the lease may be free.
    """

    holder: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class LogUnavailable:
    """No lease can be acquired, since the log is unavailable.

    Attributes
    ----------
    detail
        One sentence for the operators.
    retry_after_s
        Seconds after which to retry.
    """

    detail: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Outdated:
    """A holder of the lease has used a newer configuration than the caller.

    Attributes
    ----------
    basis
        Offset of that configuration.
    """

    basis: int


Outcome = Held | NotHeld | LogUnavailable | Outdated
