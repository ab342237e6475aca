"""Passes callers' requests on to instances that can reach endpoints.

An instance that has lost its path to all endpoints of a service is still
reached by its callers and by the other instances.  One of these then
forwards the request as if its own caller had sent it: it checks the key, the
route and all limits itself, and says whether the request has run.
"""

from __future__ import annotations

import dataclasses
import typing

import structlog

from briarseam import clocks
from briarseam.discovery import model as discovery
from briarseam.forwarding import attempts
from briarseam.forwarding import outcomes
from briarseam.forwarding import relay_headers
from briarseam.forwarding import steps
from briarseam.forwarding import supervision

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam import transfers
    from briarseam.forwarding import calls
    from briarseam.forwarding import request_context
    from briarseam.forwarding import server
    from briarseam.metrics import instruments
    from briarseam.metrics import labels

# Instances that are tried for a request, while none has taken it.
MAX_PEERS = 3
log = structlog.get_logger("briarseam.forwarding")


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another instance that takes requests of callers.

    Attributes
    ----------
    name
        Its name.
    address
        ``ip:port`` for relayed requests.
    zone
        Its availability zone.
    """

    name: str
    address: str
    zone: str


class Peers(typing.Protocol):
    """The other instances."""

    def candidates(self, service: str) -> collections.abc.Sequence[Peer]:
        """Return instances that may reach a service, in random order."""

    def record_failure(self, name: str) -> None:
        """Avoid an instance for a while that could not be reached."""


class RelayCodec(typing.Protocol):
    """Encodes a caller's request for another instance."""

    def encode_relayed(
        self,
        call: calls.Call,
        time_left_s: float,
        last_event_id: str | None,
    ) -> dict[str, str]:
        """Return the headers as the caller sent them."""


@dataclasses.dataclass(frozen=True)
class Relaying:
    """Has other instances answer requests.

    Attributes
    ----------
    peers
        The other instances.
    sender
        Sends requests to them.
    codec
        Encodes requests.
    key
        Returns the key that all instances share; ``None`` before joining
        them.
    counters
        Count requests that were passed on, by outcome.
    """

    peers: Peers
    sender: attempts.Sender
    codec: RelayCodec
    key: typing.Callable[[], bytes | None]
    counters: labels.Family[instruments.Counter]

    def relay(self, context: request_context.Context) -> outcomes.Outcome:
        """Pass a request on until an instance takes it.

        Raises
        ------
        EndedError
            If the caller disconnected, the deadline has passed or the
            process stops.
        """
        refused: outcomes.Outcome = outcomes.Unreached(
            "no other instance has a path"
        )
        key = self.key()
        if key is None:
            return refused
        candidates = self.peers.candidates(context.service.name)
        for peer in candidates[:MAX_PEERS]:
            context.watch.check()
            if context.watch.remaining_s() <= 0:
                raise supervision.EndedError(supervision.Ending.TIMED_OUT)
            outcome = self.send(context, peer, key)
            match outcome:
                case outcomes.Unreached():
                    self.peers.record_failure(peer.name)
                case outcomes.Rejected():
                    refused = outcome
                case _:
                    return outcome
        return refused

    def decode_usage(
        self, call: calls.Call, headers: server.Headers
    ) -> relay_headers.Usage | None:
        """Return what a request has used up that an instance passed on.

        ``None`` unless an instance of this system has sent it.
        """
        key = self.key()
        if key is None:
            return None
        value = dict(headers).get(relay_headers.RELAY, "")
        return relay_headers.decode(key, call, value)

    def send(
        self, context: request_context.Context, peer: Peer, key: bytes
    ) -> outcomes.Outcome:
        """Pass a request on to one instance and relay its answer."""
        time_left_s = max(0.0, context.watch.remaining_s())
        log.info(
            "request_relayed",
            request=context.call.id,
            peer=peer.name,
            time_left_ms=round(time_left_s * 1000),
        )
        usage = relay_headers.Usage(
            context.sends,
            context.counted,
            clocks.boot_clock() - context.arrived_s,
            context.software,
        )
        headers = self.codec.encode_relayed(
            context.call, time_left_s, context.progress.last_event_id
        )
        headers[relay_headers.RELAY] = relay_headers.encode(
            key, context.call, usage
        )
        attempt = attempts.Attempt(
            exchange=context.exchange,
            call=context.call,
            body=context.body,
            route=context.route,
            endpoint=as_endpoint(peer, context.service.name),
            headers=headers,
            watch=context.watch,
            progress=context.progress,
            on_first_event=lambda: None,
            relayed=True,
            holding=context.exchange.holding,
        )
        outcome: outcomes.Outcome | None = None
        try:
            outcome = self.sender.send(attempt)
        except supervision.EndedError:
            context.may_have_run = (
                context.may_have_run or context.progress.maybe_sent
            )
            raise
        finally:
            self.record(context, peer, outcome, attempt.transfer)
        return outcome

    def record(
        self,
        context: request_context.Context,
        peer: Peer,
        outcome: outcomes.Outcome | None,
        transfer: transfers.Transfer,
    ) -> None:
        """Count the outcome and keep it for the log."""
        context.steps.append(
            steps.describe_relay(peer.name, outcome, transfer)
        )
        self.counters.labelled(outcomes.name_of(outcome)).add()


def as_endpoint(peer: Peer, service: str) -> discovery.Endpoint:
    """Return an instance as the receiver of an attempt."""
    return discovery.Endpoint(peer.name, service, peer.address, peer.zone, 0)
