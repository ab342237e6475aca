"""Decisions on losses, by what is known of endpoints and of the path."""

from __future__ import annotations

import dataclasses
import enum
import typing

from briarseam.discovery import model as discovery
from briarseam.discovery import starts

if typing.TYPE_CHECKING:
    from briarseam.reachability import tracker

# An answer that comes so long after a loss shows that the path is not lost,
# and that its endpoint has not crashed: both end all connections within a few
# milliseconds.
SETTLE_S = 0.2
# After this time a loss counts unless the path seems lost; probes take half
# of it at most.
MAX_PENDING_S = 1.5
# The entry of an endpoint that has crashed expires after so many intervals
# between its heartbeats.
ENTRY_HEARTBEATS = 3
# Reads of entries may be behind by so much beyond that.
ENTRY_LAG_S = 3.0
DEFAULT_HEARTBEAT_S = 1.2
# How long a loss is tracked while nothing shows whether it counts.
MAX_TRACKED_S = 60.0


class Decision(enum.StrEnum):
    """What is decided on a loss, as far as is known."""

    PENDING = "pending"
    HELD = "held"
    # Another instance lost the request; it counts here if the endpoint ends.
    AT_PEER = "at-peer"
    # The same of what an instance had recorded before this one started.
    RECORDED = "recorded"
    COUNTED = "counted"
    NOT_COUNTED = "not-counted"


PUBLISHED = frozenset({Decision.HELD, Decision.COUNTED})
OF_OTHERS = frozenset({Decision.AT_PEER, Decision.RECORDED})
UNDECIDED = OF_OTHERS | {Decision.PENDING, Decision.HELD}


class EndpointEntries(typing.Protocol):
    """What the endpoints' entries at the store tell of their starts."""

    def is_read(self) -> bool:
        """Return whether entries have been read at all."""

    def is_known(self, endpoint_id: str) -> bool:
        """Return whether a start may be running."""

    def observed_s(self, endpoint_id: str, since_s: float) -> float:
        """Return for how long a start's entry was read without a gap."""


@dataclasses.dataclass
class Loss:
    """A request that was lost at an endpoint.

    Attributes
    ----------
    digest
        Key of the request.
    endpoint
        The endpoint.
    at_s
        When it was lost, by the clock.
    decision
        What is decided so far.
    parts
        Keys of the parts of its prompt that the loss speaks against.
    was_abandoned
        Whether the request was ended before its endpoint was lost, so that it
        may not have run there any more.
    peer
        Name of the instance that has told of it; empty if it was lost here,
        or was recorded at the store.
    """

    digest: bytes
    endpoint: discovery.Endpoint
    at_s: float
    decision: Decision = Decision.PENDING
    parts: tuple[bytes, ...] = ()
    was_abandoned: bool = False
    peer: str = ""

    @property
    def makes_request_suspect(self) -> bool:
        """Whether it speaks against the request before it is decided.

        An endpoint that broke off an answer mostly goes on, which shows soon;
        and what a peer has lost with its path is not refused by others.
        """
        match self.decision:
            case Decision.HELD:
                return True
            case Decision.RECORDED:
                # Of a recorded attempt nothing has shown that its endpoint
                # ended.
                return not self.was_abandoned
            case Decision.PENDING:
                return self.was_abandoned
        return False

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Keys of all that the loss speaks against."""
        return (self.digest, *self.parts)


class LossDecisions:
    """Decides on losses.

    Parameters
    ----------
    reachability
        Tells whether the path is lost, and which endpoints answer.
    entries
        Tells which endpoints have ended.
    clock
        Seconds.
    heartbeat_s
        Interval at which endpoints renew their entries, in seconds.
    """

    def __init__(
        self,
        reachability: tracker.Reachability,
        entries: EndpointEntries,
        clock: typing.Callable[[], float],
        heartbeat_s: float = DEFAULT_HEARTBEAT_S,
    ) -> None:
        self.reachability = reachability
        self.entries = entries
        self.clock = clock
        self.expiry_s = ENTRY_HEARTBEATS * heartbeat_s + ENTRY_LAG_S

    def has_ended(self, endpoint_id: str) -> bool:
        """Return whether an endpoint has ended, as far as entries tell."""
        return self.entries.is_read() and not self.entries.is_known(
            endpoint_id
        )

    def decide(self, loss: Loss) -> tuple[Decision, str]:
        """Return the decision on a loss and its grounds."""
        decided = self.decide_by_start(loss)
        if decided is not None:
            return decided
        if loss.decision is Decision.COUNTED or loss.decision in OF_OTHERS:
            return loss.decision, ""
        return self.decide_by_path(loss)

    def decide_by_start(self, loss: Loss) -> tuple[Decision, str] | None:
        """Decide by whether the endpoint's start has ended, if that shows."""
        age_s = self.clock() - loss.at_s
        if not self.entries.is_read():
            return None
        if not self.entries.is_known(loss.endpoint.id):
            if loss.decision is Decision.NOT_COUNTED and age_s > self.expiry_s:
                # It has ended long after the loss.
                return loss.decision, ""
            return Decision.COUNTED, "the endpoint has ended"
        if loss.decision is Decision.COUNTED and not has_birth(loss.endpoint):
            # Another start may have the same id.
            return loss.decision, ""
        settled_s = loss.at_s + SETTLE_S
        if self.reachability.heard_from_after(loss.endpoint, settled_s):
            return Decision.NOT_COUNTED, "the endpoint has not crashed"
        observed_s = self.entries.observed_s(loss.endpoint.id, loss.at_s)
        if observed_s >= self.expiry_s:
            return Decision.NOT_COUNTED, "the endpoint has kept its entry"
        return None

    def decide_by_path(self, loss: Loss) -> tuple[Decision, str]:
        """Decide by whether the path to the service was lost as well."""
        service = loss.endpoint.service
        if self.reachability.cut_off_after(service, loss.at_s):
            return Decision.HELD, "no endpoint can be reached"
        if loss.was_abandoned and not self.reachability.has_failed(
            loss.endpoint
        ):
            # Only the end of the endpoint connects the two.
            return loss.decision, ""
        if self.reachability.heard_after(service, loss.at_s + SETTLE_S):
            return Decision.COUNTED, "other endpoints answer"
        if self.clock() - loss.at_s >= MAX_PENDING_S:
            return Decision.COUNTED, "no endpoint has answered"
        self.reachability.suspect(service)
        return Decision.PENDING, ""

    def is_final(self, loss: Loss) -> bool:
        """Return whether nothing can change the decision on a loss."""
        age_s = self.clock() - loss.at_s
        if age_s >= MAX_TRACKED_S and self.entries.is_read():
            return True
        match loss.decision:
            case Decision.NOT_COUNTED:
                return age_s >= self.expiry_s
            case Decision.COUNTED:
                is_told = age_s >= self.expiry_s
                return is_told and not has_birth(loss.endpoint)
        return False


def has_birth(endpoint: discovery.Endpoint) -> bool:
    """Return whether an endpoint's id tells its starts apart."""
    return endpoint.start.born_ms != starts.UNKNOWN_MS
