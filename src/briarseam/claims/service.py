"""Claims: the right to run a non-idempotent request at most once.

An agent owns some of the shards, by rank over the live agents, and follows
and writes only these; claims on other keys go to the shard's owner.  Two
owners of one shard do no harm, since the fold of the stream alone decides.
"""

from __future__ import annotations

import secrets
import threading
import typing

from briarseam import verdict
from briarseam.backing import log as platform_log
from briarseam.claims import followed
from briarseam.claims import keys
from briarseam.claims import messages
from briarseam.claims import options as options_module
from briarseam.claims import records
from briarseam.claims import settler as settlers
from briarseam.metrics import registry as registries
from briarseam.wire import client as wire_client
from briarseam.wire import codec
from briarseam.wire import connection as connections
from briarseam.wire import server as wire_server

SETTLE_WAIT_S = 2.0
REMOTE_MARGIN_S = 0.5
HOLDER_TIMEOUT_S = 0.5
OWNER_RETRY_S = 1.0
FLUSH_S = 2.0
ATTEMPT_BYTES = 16


class Claims:
    """At-most-once claims of one agent.

    Parameters
    ----------
    log
        The log service.
    local_holder
        This incarnation of this agent.
    peers
        Access to the other agents.
    options
        Options of the claims.
    metrics
        Registry of the counters.
    """

    def __init__(
        self,
        log: platform_log.LogClient,
        local_holder: options_module.Holder,
        peers: options_module.Peers,
        options: options_module.Options,
        metrics: registries.Registry,
    ) -> None:
        self.local_holder = local_holder
        self.peers = peers
        self.options = options
        self.followed = followed.FollowedShards(
            log, local_holder, options, self.owner, self.is_alive
        )
        self.lock = threading.Lock()
        self.settlers: dict[int, settlers.Settler] = {}
        self.result_counter = metrics.counters(
            "claims_total", "Claims by result.", ("result",)
        )
        self.claim_latency = metrics.latency(
            "claim_us", "Time that a claim took."
        )
        metrics.callback_gauge(
            "claim_keys", "Keys in memory.", self.followed.count_keys
        )
        metrics.callback_gauge(
            "claim_appends", "Records appended.", self.followed.count_appends
        )
        metrics.callback_gauge(
            "claim_settlements_pending",
            "Ends of attempts not yet in the log.",
            self.count_pending,
        )
        metrics.callback_gauge(
            "claim_streams_halted",
            "Streams that cannot be trusted.",
            self.followed.count_halted,
        )

    def start(self) -> None:
        """Start following the shards that this agent owns."""
        self.followed.start()

    def stop(self) -> None:
        """Deliver pending settlements for a bounded time, then stop."""
        self.followed.stop_reviews()
        with self.lock:
            pending = list(self.settlers.values())
        for settler in pending:
            settler.stop(FLUSH_S)
        self.followed.stop()

    def register(self, router: wire_server.Router) -> None:
        """Register the handlers of other agents' messages."""
        router.on(messages.ClaimRequest, self.on_claim)
        router.on(messages.SettleRequest, self.on_settle)
        router.on(messages.HolderAsked, self.on_holder_asked)

    def new_attempt(self) -> str:
        """Generate a name for an attempt."""
        return secrets.token_hex(ATTEMPT_BYTES)

    def claim(
        self,
        organisation: str,
        key: str,
        body_digest: bytes,
        attempt: str,
        wait_s: float | None = None,
    ) -> messages.Result:
        """Claim the right to run a key's request.

        Parameters
        ----------
        organisation
            Organisation of the key; equal keys of different organisations
            are independent.
        key
            The caller's idempotency key.
        body_digest
            Digest of the request.
        attempt
            A new attempt, see :meth:`new_attempt`.
        wait_s
            Maximum wait in seconds; by default that of the options.

        Returns
        -------
        Result
            Only ``Won`` permits sending the request; the claimant must
            then :meth:`settle` the attempt.
        """
        parsed = keys.parse(key)
        if parsed is None:
            return self.count_result(messages.KeyInvalid("not a UUIDv7"))
        item = records.Claim(
            organisation,
            parsed.text,
            attempt,
            body_digest,
            self.local_holder.name,
            self.local_holder.incarnation,
            self.local_holder.address,
        )
        if wait_s is None:
            wait_s = self.options.wait_s
        with self.claim_latency.time():
            result = self.claim_at_owner(messages.ClaimRequest(item, wait_s))
        if isinstance(result, messages.NotClaimed) and result.dangling:
            # The claim may still appear in the stream and hold the key for
            # an attempt that is never sent, so its end is recorded too.
            self.settle(organisation, key, attempt, not_run_verdict())
        return self.count_result(result)

    def settle(
        self,
        organisation: str,
        key: str,
        attempt: str,
        end: records.Outcome | verdict.NotRun | verdict.MayHaveRun,
        answer_id: str = "",
    ) -> None:
        """Record how an attempt ended, without waiting.

        Parameters
        ----------
        organisation, key, attempt
            As claimed.
        end
            ``Outcome`` if the request ran; ``NotRun`` only if it was never
            sent; ``MayHaveRun`` if its outcome was lost.
        answer_id
            Answer id of a prompt whose outcome was lost.
        """
        parsed = keys.parse(key)
        if parsed is None:
            return
        name = (organisation, parsed.text, attempt)
        item: records.Settlement
        match end:
            case records.Outcome():
                item = records.Done(*name, end)
            case verdict.NotRun():
                item = records.NotRun(*name)
            case verdict.MayHaveRun():
                item = records.Lost(*name, answer_id)
        number = self.shard_of(organisation, parsed.text)
        self.settler(number).add(item)

    def shard_of(self, organisation: str, key: str) -> int:
        """Return the number of the shard of a key."""
        return keys.shard_of(organisation, key, self.options.shards)

    def owner(self, number: int) -> str | None:
        """Return the address of a shard's owner; ``None`` if it is local."""
        address = self.peers.owner_of(number)
        return None if address == self.local_holder.address else address

    def claim_at_owner(
        self, request: messages.ClaimRequest
    ) -> messages.Result:
        """Send a claim to the shard's owner, which may be this agent."""
        number = self.shard_of(request.claim.organisation, request.claim.key)
        address = self.owner(number)
        if address is None:
            return self.claim_locally(number, request)
        client = self.peers.client_of(address)
        try:
            reply = client.call(request, request.wait_s + REMOTE_MARGIN_S)
        except wire_client.NotSentError:
            return owner_unreachable(address, dangling=False)
        except connections.WireError:
            # The owner may have received the claim and may append it later.
            return owner_unreachable(address, dangling=True)
        if isinstance(reply, codec.Failed):
            return owner_unreachable(address, dangling=True)
        return typing.cast("messages.Result", reply)

    def claim_locally(
        self, number: int, request: messages.ClaimRequest
    ) -> messages.Result:
        """Claim a key of a shard that this agent follows."""
        return self.followed.shard(number).claim(request.claim, request.wait_s)

    def is_alive(self, claim: records.Claim) -> bool:
        """Return whether the agent that made a claim is still alive.

        The agent itself is queried: heartbeats reach only agents of the
        same cell, but the caller may resend the request to any agent.
        """
        if claim.holder == self.local_holder.name:
            return claim.incarnation == self.local_holder.incarnation
        query = messages.HolderAsked(claim.holder, claim.incarnation)
        try:
            reply = self.peers.client_of(claim.address).call(
                query, HOLDER_TIMEOUT_S
            )
        except connections.WireError:
            return False
        return isinstance(reply, messages.HolderTold) and reply.same

    def deliver(
        self, number: int, items: typing.Sequence[records.Settlement]
    ) -> frozenset[str]:
        """Send settlements to the shard's owner; return those read back."""
        address = self.owner(number)
        if address is None:
            return self.followed.shard(number).settle(items, SETTLE_WAIT_S)
        client = self.peers.client_of(address)
        request = messages.SettleRequest(number, tuple(items), SETTLE_WAIT_S)
        try:
            reply = client.call(request, SETTLE_WAIT_S + REMOTE_MARGIN_S)
        except connections.WireError:
            return frozenset()
        if not isinstance(reply, messages.SettleReply):
            return frozenset()
        return frozenset(reply.attempts)

    def on_claim(
        self, peer: connections.Identity, request: messages.ClaimRequest
    ) -> messages.Result:
        """Handle another agent's claim."""
        number = self.shard_of(request.claim.organisation, request.claim.key)
        return self.claim_locally(number, request)

    def on_holder_asked(
        self, peer: connections.Identity, request: messages.HolderAsked
    ) -> messages.HolderTold:
        """Answer whether this agent is the queried incarnation."""
        return messages.HolderTold(
            request.name == self.local_holder.name
            and request.incarnation == self.local_holder.incarnation
        )

    def on_settle(
        self, peer: connections.Identity, request: messages.SettleRequest
    ) -> messages.SettleReply:
        """Handle another agent's settlements."""
        if not 0 <= request.shard < self.options.shards:
            return messages.SettleReply(())
        shard = self.followed.shard(request.shard)
        confirmed = shard.settle(request.settlements, request.wait_s)
        return messages.SettleReply(tuple(sorted(confirmed)))

    def settler(self, number: int) -> settlers.Settler:
        """Return a shard's settler; start it if necessary."""
        with self.lock:
            settler = self.settlers.get(number)
            if settler is None:
                settler = settlers.Settler(number, self.deliver)
                self.settlers[number] = settler
                settler.start()
            return settler

    def count_result(self, result: messages.Result) -> messages.Result:
        """Count a result by its class and return it."""
        self.result_counter.labelled(type(result).__name__).add()
        return result

    def count_pending(self) -> int:
        """Return the number of settlements not yet in the log."""
        with self.lock:
            pending = list(self.settlers.values())
        return sum(len(settler.pending) for settler in pending)


def not_run_verdict() -> verdict.NotRun:
    """Return the verdict for an attempt that was abandoned unsent."""
    return verdict.NotRun(verdict.Reason.LOG_UNAVAILABLE)


def owner_unreachable(address: str, dangling: bool) -> messages.NotClaimed:
    """Return the result for a shard whose owner did not answer."""
    return messages.NotClaimed(
        verdict.Reason.AGENT_UNAVAILABLE,
        f"the agent at {address}, which owns this key, did not answer",
        OWNER_RETRY_S,
        dangling,
    )
