"""What asking for a lease can come to."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Held:
    """The lease is ours under this fencing number."""

    fence: int


@dataclasses.dataclass(frozen=True)
class NotHeld:
    """Somebody else has it, or was faster.

    Attributes
    ----------
    holder
        Who has it; empty when that is not known.
    retry_after_s
        Seconds after which it may be free.
    """

    holder: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class LogUnavailable:
    """The log does not answer, so no lease can be had.

    Attributes
    ----------
    detail
        One sentence for the operators.
    retry_after_s
        Seconds after which to ask again.
    """

    detail: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Outdated:
    """A holder has gone by a newer configuration than the caller has.

    Attributes
    ----------
    basis
        Offset of that configuration.
    """

    basis: int


Outcome = Held | NotHeld | LogUnavailable | Outdated
