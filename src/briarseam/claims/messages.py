"""Results of claims, and the messages between agents.

The results are messages themselves, since an agent that does not own a
key's shard forwards the owner's result.
"""

from __future__ import annotations

import dataclasses

from briarseam import verdict
from briarseam.claims import records
from briarseam.wire import codec


@codec.message("claim")
@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """Request to a shard's owner to claim a key.

    Attributes
    ----------
    claim
        The claim to append.
    wait_s
        How long the requesting agent waits, in seconds.
    """

    claim: records.Claim
    wait_s: float


@codec.message("claim-won")
@dataclasses.dataclass(frozen=True)
class Won:
    """Only this attempt may run the request, once."""

    attempt: str


@codec.message("claim-in-progress")
@dataclasses.dataclass(frozen=True)
class InProgress:
    """Another attempt holds the key and its agent is alive."""

    retry_after_s: float


@codec.message("claim-done")
@dataclasses.dataclass(frozen=True)
class Finished:
    """The key's request has run already, with this outcome."""

    outcome: records.Outcome


@codec.message("claim-unknown")
@dataclasses.dataclass(frozen=True)
class Unknown:
    """An attempt held the key and how it ended is unknown.

    Attributes
    ----------
    detail
        One sentence for the caller.
    answer_id
        Answer id with which the endpoint may still have a prompt's answer.
    """

    detail: str
    answer_id: str = ""


@codec.message("claim-key-reused")
@dataclasses.dataclass(frozen=True)
class KeyReused:
    """The key was used before with a different body."""


@codec.message("claim-key-expired")
@dataclasses.dataclass(frozen=True)
class KeyExpired:
    """The key is so old that the log may have dropped its records."""


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
        Seconds after which to claim again.
    dangling
        Whether the claim may be in the stream nevertheless, now or
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
    """Request to a shard's owner to record how attempts ended.

    Attributes
    ----------
    shard
        Number of the shard that all of the keys belong to.
    settlements
        The settlements to record.
    wait_s
        How long the requesting agent waits, in seconds.
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
    """Query whether an agent still is the incarnation that made a claim."""

    name: str
    incarnation: str


@codec.message("claim-holder")
@dataclasses.dataclass(frozen=True)
class HolderTold:
    """Whether the agent still is that incarnation."""

    same: bool


def verdict_of(refusal: Refusal) -> verdict.Verdict:
    """Return the verdict for a caller whose claim was not won.

    A key that is too old gives ``MayHaveRun``: an earlier attempt may
    have run although its record is gone.
    """
    reason = verdict.Reason
    match refusal:
        case InProgress(retry_after_s):
            return verdict.MayHaveRun(
                reason.IN_PROGRESS,
                "a request with this key is in progress",
                retry_after_s,
            )
        case Unknown(detail):
            return verdict.MayHaveRun(reason.OUTCOME_UNKNOWN, detail)
        case KeyExpired():
            return verdict.MayHaveRun(
                reason.KEY_EXPIRED,
                "the key is older than the retained records",
            )
        case KeyReused():
            return verdict.NotRun(
                reason.KEY_REUSED, "the key belongs to another request"
            )
        case KeyInvalid(detail):
            return verdict.NotRun(reason.KEY_INVALID, detail)
        case NotClaimed():
            # An earlier attempt with the key may have run unseen by this
            # agent; after "not run" its caller would submit the request
            # again with another key.  Only an attempt that won the key
            # shows that nothing ran.
            return verdict.MayHaveRun(
                reason(refusal.reason),
                f"{refusal.detail}; send the same key again",
                refusal.retry_after_s,
            )
