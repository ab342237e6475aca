"""Claims: the right to run a non-idempotent request, at most once.

An agent owns some shards (by rank over the live agents) and follows and
writes only these; for other keys it asks their owner.  Two owners of one
shard are harmless, since the fold of the stream alone decides.
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
    me
        This start of this agent.
    peers
        The other agents.
    options
        How claims work.
    metrics
        Where to count.
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
        metrics.reading(
            "claim_keys", "Keys in memory.", self.followed.count_keys
        )
        metrics.reading(
            "claim_appends", "Records appended.", self.followed.count_appends
        )
        metrics.reading(
            "claim_settlements_pending",
            "Ends of attempts not yet in the log.",
            self.count_pending,
        )
        metrics.reading(
            "claim_streams_halted",
            "Streams that cannot be trusted.",
            self.followed.count_halted,
        )

    def start(self) -> None:
        """Begin following the shards that this agent owns."""
        self.followed.start()

    def stop(self) -> None:
        """Hand over pending settlements, then stop."""
        self.followed.stop_reviews()
        with self.lock:
            pending = list(self.settlers.values())
        for settler in pending:
            settler.stop(FLUSH_S)
        self.followed.stop()

    def register(self, router: wire_server.Router) -> None:
        """Answer other agents' claims and settlements."""
        router.on(messages.ClaimRequest, self.on_claim)
        router.on(messages.SettleRequest, self.on_settle)
        router.on(messages.HolderAsked, self.on_holder_asked)

    def new_attempt(self) -> str:
        """Return a fresh attempt name."""
        return secrets.token_hex(ATTEMPT_BYTES)

    def claim(
        self,
        organisation: str,
        key: str,
        body_digest: bytes,
        attempt: str,
        wait_s: float | None = None,
    ) -> messages.Result:
        """Ask for the right to run a key's request.

        Parameters
        ----------
        organisation
            Whose key it is; keys of two organisations never meet.
        key
            The caller's idempotency key.
        body_digest
            Digest of the request.
        attempt
            A fresh attempt, see :meth:`new_attempt`.
        wait_s
            Bound on the wait, in seconds.

        Returns
        -------
        Result
            Only ``Won`` allows to send the request; whoever got it must
            :meth:`settle` the attempt at the end.
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
            # The claim may yet turn up in the stream and hold the key for
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
        """Record how an attempt ended; returns at once.

        Parameters
        ----------
        organisation, key, attempt
            As claimed.
        end
            ``Outcome`` when it ran; ``NotRun`` only if the request was
            never sent; ``MayHaveRun`` when its outcome was lost.
        answer_id
            Of a prompt whose outcome was lost.
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
        """Return the number of the shard that keeps a key."""
        return keys.shard_of(organisation, key, self.options.shards)

    def owner(self, number: int) -> str | None:
        """Return the address of another agent that owns a shard."""
        address = self.peers.owner_of(number)
        return None if address == self.local_holder.address else address

    def claim_at_owner(
        self, request: messages.ClaimRequest
    ) -> messages.Result:
        """Claim at the shard's owner."""
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
            # The owner may have got the claim and append it at any time.
            return owner_unreachable(address, dangling=True)
        if isinstance(reply, codec.Failed):
            return owner_unreachable(address, dangling=True)
        return typing.cast("messages.Result", reply)

    def claim_locally(
        self, number: int, request: messages.ClaimRequest
    ) -> messages.Result:
        """Claim in a shard that this agent follows."""
        return self.followed.shard(number).claim(request.claim, request.wait_s)

    def is_alive(self, claim: records.Claim) -> bool:
        """Tell whether the agent that made a claim is still there.

        It is asked itself: the heartbeats reach only agents of a cell,
        and the resend may come to any.
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
        """Offer settlements to the shard's owner."""
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
        """Answer another agent's claim."""
        number = self.shard_of(request.claim.organisation, request.claim.key)
        return self.claim_locally(number, request)

    def on_holder_asked(
        self, peer: connections.Identity, request: messages.HolderAsked
    ) -> messages.HolderTold:
        """Tell whether this is still the start of the agent that is meant."""
        return messages.HolderTold(
            request.name == self.local_holder.name
            and request.incarnation == self.local_holder.incarnation
        )

    def on_settle(
        self, peer: connections.Identity, request: messages.SettleRequest
    ) -> messages.SettleReply:
        """Answer another agent's settlements."""
        if not 0 <= request.shard < self.options.shards:
            return messages.SettleReply(())
        shard = self.followed.shard(request.shard)
        confirmed = shard.settle(request.settlements, request.wait_s)
        return messages.SettleReply(tuple(sorted(confirmed)))

    def settler(self, number: int) -> settlers.Settler:
        """Return a shard's settler, starting it if need be."""
        with self.lock:
            settler = self.settlers.get(number)
            if settler is None:
                settler = settlers.Settler(number, self.deliver)
                self.settlers[number] = settler
                settler.start()
            return settler

    def count_result(self, result: messages.Result) -> messages.Result:
        """Count a result by its kind."""
        self.result_counter.labelled(type(result).__name__).add()
        return result

    def count_pending(self) -> int:
        """Return how many settlements are not yet in the log."""
        with self.lock:
            pending = list(self.settlers.values())
        return sum(len(settler.pending) for settler in pending)


def not_run_verdict() -> verdict.NotRun:
    """Return the end of an attempt that was given up before sending."""
    return verdict.NotRun(verdict.Reason.LOG_UNAVAILABLE)


def owner_unreachable(address: str, dangling: bool) -> messages.NotClaimed:
    """Return the answer when a shard's owner did not answer."""
    return messages.NotClaimed(
        verdict.Reason.AGENT_UNAVAILABLE,
        f"the agent at {address}, which keeps this key, did not answer",
        OWNER_RETRY_S,
        dangling,
    )
