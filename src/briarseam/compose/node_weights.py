"""Composing what brings engines to the wanted weights."""

from __future__ import annotations

import secrets
import typing

import structlog

from briarseam.membership import sections
from briarseam.platform import names
from briarseam.weights import board as boards
from briarseam.weights import errands
from briarseam.weights import holders
from briarseam.weights import rollout as rollouts
from briarseam.weights import tenure as tenures
from briarseam.weights import times

if typing.TYPE_CHECKING:
    from briarseam import malformed
    from briarseam.compose import node_feeds
    from briarseam.compose import node_instances
    from briarseam.platform import store as stores
    from briarseam.settings import serving

ORDERS_GROUP = "briarseam-orders"
START_BYTES = 4
# Added to the time for which holders must not take turns: orders arrive a
# little after they were sent.
LEASE_SLACK_S = 0.3
# A request that is sent may wait at its engine for about this long before
# it begins; it must not begin on weights that are too old by then.
VERSION_MARGIN_S = 2.0
MS = 1000.0
log = structlog.get_logger("briarseam.weights")


class Weights:
    """The parts that know and change engines' weights.

    Parameters
    ----------
    settings
        The settings of this process.
    store
        The platform's store.
    feeds
        What is followed on it.
    instances
        Who else there is, and whether this instance should take part in
        giving orders.
    engines
        Calls to engines.
    tally
        Counts what can't be read.

    Attributes
    ----------
    board
        What is known of engines' weights.
    times
        Since when weights are wanted, as it lies on the store.
    holders
        What instances say of who gives orders.
    """

    def __init__(
        self,
        settings: serving.ServeSettings,
        store: stores.StoreClient,
        feeds: node_feeds.Feeds,
        instances: node_instances.Instances,
        engines: errands.Engines,
        tally: malformed.Tally | None = None,
    ) -> None:
        self.settings = settings
        self.feeds = feeds
        self.instances = instances
        self.goals = feeds.operators.goals
        self.board = boards.Board(self.goals)
        self.times = times.GoalTimes(
            store,
            names.GOAL_TIMES_TOPIC,
            self.goals,
            instances.stands_for_duty,
            era=lambda: store.era,
            tally=tally,
        )
        self.holders = holders.HolderWords(
            instances.others_for_duty,
            lambda: self.settings.bounds.engines_check_fence,
        )
        # What was logged last as excluded, by model.
        self.excluded: dict[str, int] = {}
        start = secrets.token_hex(START_BYTES)
        self.tenure = tenures.Tenure(
            store,
            ORDERS_GROUP,
            names.ORDERS_TOPIC,
            f"{settings.instance.name}/{start}",
            settings.bounds.lease_ms / MS + LEASE_SLACK_S,
            self.stands_for_duty,
            self.are_others_quiet,
        )
        self.holders.holds = self.tenure.holds
        self.rollout = rollouts.Rollout(
            errands.Sources(
                goals=lambda: self.goals.newest,
                targets=feeds.engines_of,
                tenure=self.tenure,
                engines=engines,
                board=self.board,
                holder=settings.instance.name,
                time_left_s=self.time_left_s,
                ordering=self.holders.note_ordered,
                tell_peers=instances.tell_at_once,
            )
        )

    def start(self) -> None:
        """Begin to take part in who gives orders."""
        self.times.start()
        self.tenure.start()
        self.rollout.start()

    def stop(self) -> None:
        """Give no further orders, and give the duty up."""
        self.rollout.stop()
        self.times.stop()
        self.tenure.stop()

    def told(self) -> tuple[sections.Section, ...]:
        """Return what heartbeats carry."""
        return (
            sections.Section(
                "weights", self.board.provide, self.board.consume
            ),
            # After the ages themselves, which the former carries.
            sections.Section(
                "weights-known", self.times.provide, self.times.consume
            ),
            sections.Section(
                "orders", self.holders.provide, self.holders.consume
            ),
        )

    def stands_for_duty(self) -> bool:
        """Tell whether to take part; asked each half a second."""
        self.holders.note_active()
        return self.instances.stands_for_duty()

    def are_others_quiet(self, since_s: float) -> bool:
        """Tell whether no other instance can be giving orders."""
        lease_s = self.settings.bounds.lease_ms / MS + LEASE_SLACK_S
        return self.holders.are_quiet(since_s, lease_s)

    def excluded_after_s(self) -> float:
        """Return the age of a goal from which it excludes older weights."""
        if not self.times.known.is_set():
            # How old goals are is not known in the first moments after a
            # start; requests would begin on weights replaced long ago.
            return 0.0
        return self.settings.bounds.version_ms / MS - VERSION_MARGIN_S

    def time_left_s(self, model: str, version: int) -> float:
        """Return the seconds until weights are out of use."""
        return self.goals.time_left_s(model, version, self.excluded_after_s())

    def required(self, model: str) -> int:
        """Return the oldest weights that requests may still begin on."""
        found = self.goals.required(model, self.excluded_after_s())
        if found != self.excluded.get(model, 0):
            self.excluded[model] = found
            log.info(
                "older_weights_excluded",
                model=model,
                oldest=found,
                times_known=self.times.known.is_set(),
            )
        return found

    def oldest(self, model: str) -> int | None:
        """Return the oldest weights that an engine may have.

        ``None`` when an engine's are not known, or there is none: one that
        is just restarting comes back with what it had.
        """
        versions = [
            self.board.version(endpoint.id, model, endpoint.versions[model])
            # An entry of another service may name any model, and would keep
            # parts of old weights from being freed.
            for endpoint in self.feeds.all_engines_of(model)
            if model in endpoint.versions
        ]
        if not versions or not all(versions):
            return None
        return min(versions)
