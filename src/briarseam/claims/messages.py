"""What a claim is answered with, and the messages between agents.

The answers are messages themselves, since an agent that does not own a
key's shard hands on what the owner answered.
"""

from __future__ import annotations

import dataclasses

from briarseam import verdict
from briarseam.claims import records
from briarseam.wire import codec


@codec.message("claim")
@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """Ask a shard's owner for a key.

    Attributes
    ----------
    claim
        What to append.
    wait_s
        How long the asker waits, in seconds.
    """

    claim: records.Claim
    wait_s: float


@codec.message("claim-won")
@dataclasses.dataclass(frozen=True)
class Won:
    """The attempt alone may run the request, once."""

    attempt: str


@codec.message("claim-in-progress")
@dataclasses.dataclass(frozen=True)
class InProgress:
    """Another attempt holds the key and its agent is alive."""

    retry_after_s: float


@codec.message("claim-done")
@dataclasses.dataclass(frozen=True)
class Finished:
    """The key's request ran before; this was its outcome."""

    outcome: records.Outcome


@codec.message("claim-unknown")
@dataclasses.dataclass(frozen=True)
class Unknown:
    """An attempt held the key and nobody can tell how it ended.

    Attributes
    ----------
    detail
        One sentence for the caller.
    answer_id
        By which a prompt's answer may still be had from its endpoint.
    """

    detail: str
    answer_id: str = ""


@codec.message("claim-key-reused")
@dataclasses.dataclass(frozen=True)
class KeyReused:
    """The key was used before with another body."""


@codec.message("claim-key-expired")
@dataclasses.dataclass(frozen=True)
class KeyExpired:
    """The key is so old that the log may no longer tell about it."""


@codec.message("claim-key-invalid")
@dataclasses.dataclass(frozen=True)
class KeyInvalid:
    """The key can never be accepted."""

    detail: str


@codec.message("claim-not-claimed")
@dataclasses.dataclass(frozen=True)
class NotClaimed:
    """The attempt did not get the key and will not be sent.

    Attributes
    ----------
    reason
        Value of :class:`briarseam.verdict.Reason`.
    detail
        One sentence for the caller.
    retry_after_s
        Seconds after which asking again makes sense.
    dangling
        Whether the claim may be in the stream all the same, now or
        later; its holder then records that the attempt did not run.
    """

    reason: str
    detail: str
    retry_after_s: float
    dangling: bool = False


Result = (
    Won
    | InProgress
    | Finished
    | Unknown
    | KeyReused
    | KeyExpired
    | KeyInvalid
    | NotClaimed
)
Refusal = (
    InProgress | Unknown | KeyReused | KeyExpired | KeyInvalid | NotClaimed
)


@codec.message("claim-settle")
@dataclasses.dataclass(frozen=True)
class SettleRequest:
    """Ask a shard's owner to record how attempts ended.

    Attributes
    ----------
    shard
        The shard of all of them.
    settlements
        What to record.
    wait_s
        How long the asker waits, in seconds.
    """

    shard: int
    settlements: tuple[records.Settlement, ...]
    wait_s: float


@codec.message("claim-settled")
@dataclasses.dataclass(frozen=True)
class SettleReply:
    """The attempts whose settlement was read back from the stream."""

    attempts: tuple[str, ...]


@codec.message("claim-holder-asked")
@dataclasses.dataclass(frozen=True)
class HolderAsked:
    """Ask an agent whether it is still the start that made a claim."""

    name: str
    incarnation: str


@codec.message("claim-holder")
@dataclasses.dataclass(frozen=True)
class HolderTold:
    """Whether it is."""

    same: bool


def verdict_of(refusal: Refusal) -> verdict.Verdict:
    """Return what a caller is told for a claim that was not won.

    A key that is too old gives ``MayHaveRun``: an earlier attempt may
    have run and its record be gone.
    """
    reason = verdict.Reason
    match refusal:
        case InProgress(retry_after_s):
            return verdict.MayHaveRun(
                reason.IN_PROGRESS,
                "a request with this key is under way",
                retry_after_s,
            )
        case Unknown(detail):
            return verdict.MayHaveRun(reason.OUTCOME_UNKNOWN, detail)
        case KeyExpired():
            return verdict.MayHaveRun(
                reason.KEY_EXPIRED,
                "the key is older than the records that are kept",
            )
        case KeyReused():
            return verdict.NotRun(
                reason.KEY_REUSED, "the key belongs to another request"
            )
        case KeyInvalid(detail):
            return verdict.NotRun(reason.KEY_INVALID, detail)
        case NotClaimed():
            # An earlier try under the key may have run where this agent
            # could not see it: told "not run", its caller would submit
            # anew under another key.  Only a try that won its key can
            # tell for sure that nothing ran.
            return verdict.MayHaveRun(
                reason(refusal.reason),
                f"{refusal.detail}; send the same key again",
                refusal.retry_after_s,
            )
