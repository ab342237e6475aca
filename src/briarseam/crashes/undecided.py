"""Losses that speak against a request or part before they are decided."""

from __future__ import annotations

import typing

from briarseam.crashes import loss_decisions
from briarseam.crashes import loss_keys

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.crashes import loss_counts
    from briarseam.reachability import tracker


def believed(
    key: bytes,
    losses: collections.abc.Iterable[loss_decisions.Loss],
    counts: loss_counts.LossCounts,
    reachability: tracker.Reachability,
) -> list[loss_decisions.Loss]:
    """Return the undecided losses that make a key suspect.

    For parts, losses of peers are included: they may hold what an instance
    that has lost nothing itself would send on.  For requests they are once
    something shows that not only a peer's path is lost.

    Parameters
    ----------
    key
        Key of the request or part.
    losses
        All tracked losses.
    counts
        Counts the losses that are decided.
    reachability
        Tells which endpoints can't be reached.
    """
    own = [loss for loss in losses if key in loss.keys]
    undecided = [
        loss for loss in own if loss.decision in loss_decisions.UNDECIDED
    ]
    if not loss_keys.is_request(key):
        return undecided
    several_lost_it = is_lost_by_several(own) or counts.endpoints_of(key)
    return [
        loss
        for loss in undecided
        if loss.makes_request_suspect
        or (
            loss.decision is loss_decisions.Decision.AT_PEER
            and (several_lost_it or is_down(loss, reachability))
        )
    ]


def is_lost_by_several(
    losses: collections.abc.Iterable[loss_decisions.Loss],
) -> bool:
    """Return whether more than one instance has lost a request.

    A peer whose path is lost loses requests at endpoints that go on.  If
    others have lost the same request as well, it is rather the endpoints that
    have ended, even while their entries are still there.
    """
    told_by = {
        loss.peer
        for loss in losses
        if loss.decision is not loss_decisions.Decision.NOT_COUNTED
    }
    return len(told_by) > 1


def is_down(
    loss: loss_decisions.Loss, reachability: tracker.Reachability
) -> bool:
    """Return whether connections fail to its endpoint, but not to all."""
    endpoint = loss.endpoint
    return reachability.has_failed(endpoint) and not reachability.is_cut_off(
        endpoint.service
    )
