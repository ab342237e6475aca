"""Composition of the checks of requests that crash endpoints."""

from __future__ import annotations

import typing

from briarseam import clocks
from briarseam.compose import node_metrics
from briarseam.compose import node_peers
from briarseam.crashes import crash_records
from briarseam.crashes import loss_counts
from briarseam.crashes import loss_keys
from briarseam.crashes import loss_sharing
from briarseam.crashes import pending_losses
from briarseam.crashes import trial_ledger
from briarseam.crashes import trial_messages
from briarseam.crashes import trial_requests
from briarseam.forwarding import crash_checks
from briarseam.lookup import rank
from briarseam.membership import sections
from briarseam.membership import state as members
from briarseam.platform import names
from briarseam.wire import replies

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam import malformed
    from briarseam.compose import node_calls
    from briarseam.compose import node_instances
    from briarseam.discovery import registry as registries
    from briarseam.metrics import registry as metrics
    from briarseam.platform import store as stores
    from briarseam.reachability import tracker

# Key of the ranking of instances that grant trials; the first one does.
COORDINATOR_KEY = "trials"
# After joining, an instance has heard of all others by then.
MEET_S = 3.0
# A request waits for the answer, which takes a few milliseconds.
TRIAL_TIMEOUT_S = 0.3


class TrialCoordinator:
    """Calls to the instance that grants trials for all others.

    Parameters
    ----------
    ledger
        Grants them where this is the instance.
    instances
        All instances.
    calls
        Calls to them.
    """

    def __init__(
        self,
        ledger: trial_ledger.TrialLedger,
        instances: node_instances.Instances,
        calls: node_calls.PeerCalls,
    ) -> None:
        self.ledger = ledger
        self.instances = instances
        self.calls = calls
        self.joined_s: float | None = None

    def require_peers(self) -> None:
        """Check that this instance knows the others.

        Instances that start together would each take themselves for the only
        one, and grant a trial each.

        Raises
        ------
        NoReplyError
            If it may not know them yet.
        """
        known = self.instances
        if known.membership is None:
            raise replies.NoReplyError("not connected to peers yet")
        now_s = clocks.boot_clock()
        if self.joined_s is None:
            self.joined_s = now_s
        if now_s - self.joined_s >= MEET_S or known.registrations is None:
            return
        unmet = set(known.registrations.by_name).difference(known.all_names())
        if unmet:
            raise replies.NoReplyError(f"not connected to {min(unmet)} yet")

    def member(self) -> members.Member | None:
        """Return the coordinator; ``None`` if it is this instance."""
        alive = {
            member.name: member
            for member in self.instances.all()
            if member.state is members.MemberState.ALIVE
        }
        ranked = rank.strongest(
            COORDINATOR_KEY, alive, self.instances.weight_of
        )
        if not ranked or ranked[0] == self.instances.own_name:
            return None
        return alive[ranked[0]]

    def ask_trial(
        self, message: trial_messages.TrialAsked
    ) -> trial_messages.TrialTold:
        """Ask for a trial.

        Raises
        ------
        NoReplyError
            If the coordinator does not answer, or is not known yet.
        """
        self.require_peers()
        member = self.member()
        if member is None:
            return self.ledger.answer(message)
        return self.calls.call_member(
            member, message, trial_messages.TrialTold, TRIAL_TIMEOUT_S
        )

    def end_trial(self, message: trial_messages.TrialEnded) -> None:
        """Tell how a trial has ended.

        Raises
        ------
        NoReplyError
            If the coordinator does not answer.
        """
        member = self.member()
        if member is None:
            self.ledger.end(message)
            return
        self.calls.call_member(
            member, message, trial_messages.TrialEndNoted, TRIAL_TIMEOUT_S
        )


class Crashes:
    """The parts that detect and refuse requests that crash endpoints.

    Parameters
    ----------
    reachability
        Tells whether paths to endpoints are lost.
    entries
        Entries of endpoints.
    heartbeat_s
        Interval at which endpoints renew their entries, in seconds.
    instances, calls
        All instances, and calls to them.
    store
        The platform's store.
    malformed_counter
        Counts records that can't be decoded.
    registry
        The registry of metrics.
    """

    def __init__(
        self,
        reachability: tracker.Reachability,
        entries: registries.EndpointRegistry,
        heartbeat_s: float,
        instances: node_instances.Instances,
        calls: node_calls.PeerCalls,
        store: stores.StoreClient,
        malformed_counter: malformed.Tally,
        registry: metrics.Registry,
    ) -> None:
        self.publish_now = instances.publish_now
        self.counts = loss_counts.LossCounts()
        self.counts.is_ended = entries.has_ended
        self.sharing = loss_sharing.LossSharing(self.counts, calls)
        self.counts.on_lost = self.sharing.add
        self.losses = pending_losses.PendingLosses(
            self.counts,
            reachability,
            entries,
            heartbeat_s=heartbeat_s,
            decisions=node_metrics.loss_decisions(registry),
        )
        self.losses.on_decided = instances.publish_now
        self.ledger = trial_ledger.TrialLedger(self.counts)
        self.ledger.on_granted = instances.publish_now
        self.trials = trial_requests.TrialRequests(
            self.counts,
            self.ledger,
            TrialCoordinator(self.ledger, instances, calls),
        )
        self.records = crash_records.CrashRecords(
            store,
            names.CRASHES_TOPIC,
            instances.own_name,
            crash_records.Knowledge(self.counts, self.losses, self.ledger),
            malformed_counter,
        )
        self.losses.on_added = self.records.note_change
        self.trials.on_change = self.records.note_change
        self.trials.record = self.records.write
        self.counts.on_answered = self.forget_answered
        self.counts.on_cleared = self.publish_cleared
        self.checks = crash_checks.CrashChecks(
            self.counts, self.losses, self.trials
        )
        self.checks.is_settled = self.records.is_settled

    def start(self) -> None:
        """Start to decide on losses, and to publish them."""
        self.records.start()
        self.losses.start()
        self.sharing.start()

    def stop(self) -> None:
        """Stop."""
        self.records.stop()
        self.losses.stop()
        self.sharing.stop()

    def forget_answered(self, keys: set[bytes]) -> None:
        """Forget that keys were suspected which have been answered."""
        self.trials.forget(keys)

    def publish_cleared(self) -> None:
        """Tell that a suspect was answered, and record it."""
        self.publish_now()
        self.records.note_change()

    def forget_expired(self) -> None:
        """Forget what counts no more."""
        self.counts.forget_expired()
        self.ledger.forget_expired()

    def count_suspected_requests(self) -> int:
        """Return the number of requests that are suspected."""
        return len(loss_keys.only_requests(self.counts.current().endpoints))

    def count_suspected_parts(self) -> int:
        """Return the number of parts of prompts that are suspected."""
        suspects = len(self.counts.current().endpoints)
        return suspects - self.count_suspected_requests()

    def sections(self) -> tuple[sections.Section, ...]:
        """Return the sections of heartbeats.

        Trials come last: they are applied to keys with losses.
        """
        providers: dict[str, typing.Any] = {
            "tracked-losses": self.losses,
            "lost-keys": self.counts,
            "trials": self.ledger,
        }
        clearings = sections.Section(
            "answered-keys",
            self.counts.provide_clearings,
            self.counts.consume_clearings,
        )
        return (
            clearings,
            *(
                sections.Section(name, part.provide, part.consume)
                for name, part in providers.items()
            ),
        )

    def handlers(
        self,
    ) -> collections.abc.Mapping[type, node_peers.MessageHandler]:
        """Return the handlers of other instances' messages."""
        handler = node_peers.MessageHandler
        return {
            loss_sharing.KeysLost: handler(self.sharing.handle),
            trial_messages.TrialAsked: handler(self.ledger.answer),
            trial_messages.TrialEnded: handler(self.ledger.end),
        }
