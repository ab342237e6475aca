"""Composition of the parts that bring engines to the target weights."""

from __future__ import annotations

import secrets
import typing

import structlog

from briarseam.membership import sections
from briarseam.platform import names
from briarseam.weights import engine_updates
from briarseam.weights import engine_weights
from briarseam.weights import goal_times
from briarseam.weights import leader
from briarseam.weights import leader_reports
from briarseam.weights import rollout as rollouts

if typing.TYPE_CHECKING:
    from briarseam import malformed
    from briarseam.compose import node_feeds
    from briarseam.compose import node_instances
    from briarseam.platform import store as stores
    from briarseam.reachability import tracker
    from briarseam.settings import serving

ORDERS_GROUP = "briarseam-orders"
INCARNATION_BYTES = 4
# Added to the lease before another holder may issue orders: orders arrive
# shortly after they are sent.
LEASE_SLACK_S = 0.3
# A request may wait at its engine for about this long before it begins, and
# must not begin on weights that are too old by then.
VERSION_MARGIN_S = 2.0
MS = 1000.0
log = structlog.get_logger("briarseam.weights")


class Weights:
    """The parts that track and change the weights of engines.

    Parameters
    ----------
    settings
        The settings of this process.
    store
        The platform's store.
    feeds
        The feeds that are followed on the store.
    instances
        View of all instances, and whether this one should compete for
        issuing orders.
    engines
        Calls to engines.
    malformed_counter
        Counts records that can't be read.
    reachability
        Endpoints that this instance can't reach; unless given, it reaches
        all.

    Attributes
    ----------
    known_weights
        The known weights of engines.
    goal_times
        The times at which the weight goals were set, kept on the store.
    leader_reports
        Reports of the instances about who issues orders.
    """

    def __init__(
        self,
        settings: serving.ServeSettings,
        store: stores.StoreClient,
        feeds: node_feeds.Feeds,
        instances: node_instances.Instances,
        engines: engine_updates.Engines,
        malformed_counter: malformed.Tally | None = None,
        reachability: tracker.Reachability | None = None,
    ) -> None:
        self.reachability = reachability
        self.settings = settings
        self.feeds = feeds
        self.instances = instances
        self.goals = feeds.operators.goals
        self.known_weights = engine_weights.EngineWeights(self.goals)
        self.goal_times = goal_times.GoalTimes(
            store,
            names.GOAL_TIMES_TOPIC,
            self.goals,
            instances.is_leader_candidate,
            era=lambda: store.era,
            tally=malformed_counter,
        )
        self.leader_reports = leader_reports.LeaderReports(
            instances.other_leader_candidates,
            lambda: self.settings.bounds.engines_check_fence,
        )
        # Oldest allowed version that was logged last, by model.
        self.logged_oldest: dict[str, int] = {}
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.leadership = leader.Leadership(
            store,
            ORDERS_GROUP,
            names.ORDERS_TOPIC,
            f"{settings.instance.name}/{incarnation}",
            settings.bounds.lease_ms / MS + LEASE_SLACK_S,
            self.is_leader_candidate,
            self.are_others_idle,
        )
        self.leader_reports.is_leader = self.leadership.is_held
        self.rollout = rollouts.Rollout(
            engine_updates.Sources(
                goals=lambda: self.goals.newest,
                targets=feeds.engines_of,
                leadership=self.leadership,
                engines=engines,
                known_weights=self.known_weights,
                own_name=settings.instance.name,
                remaining_s=self.remaining_s,
                before_order=self.leader_reports.record_order,
                publish=instances.publish_now,
            )
        )

    def start(self) -> None:
        """Start competing for issuing orders."""
        self.goal_times.start()
        self.leadership.start()
        self.rollout.start()

    def stop(self) -> None:
        """Stop issuing orders, and release the lease."""
        self.rollout.stop()
        self.goal_times.stop()
        self.leadership.stop()

    def heartbeat_sections(self) -> tuple[sections.Section, ...]:
        """Return the heartbeat sections of weights and orders."""
        return (
            sections.Section(
                "weights",
                self.known_weights.provide,
                self.known_weights.consume,
            ),
            # Must follow "weights", which carries the ages themselves.
            sections.Section(
                "weights-known",
                self.goal_times.provide,
                self.goal_times.consume,
            ),
            sections.Section(
                "orders",
                self.leader_reports.provide,
                self.leader_reports.consume,
            ),
        )

    def is_leader_candidate(self) -> bool:
        """Return whether to compete; called every half second."""
        self.leader_reports.record_active()
        return (
            not self.is_cut_off_from_engines()
            and self.instances.is_leader_candidate()
        )

    def is_cut_off_from_engines(self) -> bool:
        """Return whether another instance could give orders, but not this.

        The lease is renewed at the store, which says nothing of the path to
        engines; a leader without one would keep everybody from giving orders.
        """
        if self.reachability is None:
            return False
        own_name = self.settings.instance.name
        peers = set(self.instances.names_in_cell()) - {own_name}
        services = self.feeds.engine_services()
        return self.reachability.is_cut_off_alone(services, peers)

    def are_others_idle(self, since_s: float) -> bool:
        """Return whether no other instance can be issuing orders."""
        lease_s = self.settings.bounds.lease_ms / MS + LEASE_SLACK_S
        return self.leader_reports.are_others_idle(since_s, lease_s)

    def excluded_after_s(self) -> float:
        """Return the age of a goal from which it excludes older weights."""
        if not self.goal_times.known.is_set():
            # Just after a start the ages of goals are unknown; with another
            # bound, requests would begin on weights replaced long ago.
            return 0.0
        return self.in_use_s()

    def in_use_s(self) -> float:
        """Return how long replaced weights may still be used, in seconds."""
        return max(
            0.0, self.settings.bounds.version_ms / MS - VERSION_MARGIN_S
        )

    def remaining_s(self, model: str, version: int) -> float:
        """Return the seconds until weights are excluded."""
        return self.goals.remaining_s(model, version, self.excluded_after_s())

    def required(self, model: str) -> int:
        """Return the oldest weights that requests may still begin on."""
        oldest = self.goals.oldest_allowed(model, self.excluded_after_s())
        if oldest != self.logged_oldest.get(model, 0):
            self.logged_oldest[model] = oldest
            log.info(
                "older_weights_excluded",
                model=model,
                oldest=oldest,
                times_known=self.goal_times.known.is_set(),
            )
        return oldest
