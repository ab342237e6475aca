"""Composing what brings engines to the wanted weights."""

from __future__ import annotations

import secrets
import typing

from briarseam.platform import engines
from briarseam.platform import names
from briarseam.weights import board as boards
from briarseam.weights import rollout as rollouts
from briarseam.weights import tenure as tenures

if typing.TYPE_CHECKING:
    from briarseam.compose import node_feeds
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
    stands
        Tells whether this instance should take part in giving orders.

    Attributes
    ----------
    board
        What is known of engines' weights.
    """

    def __init__(
        self,
        settings: serving.ServeSettings,
        store: stores.StoreClient,
        feeds: node_feeds.Feeds,
        stands: typing.Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.feeds = feeds
        self.goals = feeds.operators.goals
        self.board = boards.Board(self.goals)
        start = secrets.token_hex(START_BYTES)
        self.tenure = tenures.Tenure(
            store,
            ORDERS_GROUP,
            names.ORDERS_TOPIC,
            f"{settings.instance.name}/{start}",
            settings.bounds.lease_ms / MS + LEASE_SLACK_S,
            stands,
        )
        self.rollout = rollouts.Rollout(
            rollouts.Sources(
                goals=lambda: self.goals.newest,
                targets=feeds.engines_of,
                tenure=self.tenure,
                engines=engines.EngineClient(),
                board=self.board,
                holder=settings.instance.name,
            )
        )

    def start(self) -> None:
        """Begin to take part in who gives orders."""
        self.tenure.start()
        self.rollout.start()

    def stop(self) -> None:
        """Give no further orders, and give the duty up."""
        self.rollout.stop()
        self.tenure.stop()

    def required(self, model: str) -> int:
        """Return the oldest weights that requests may still begin on."""
        after_s = self.settings.bounds.version_ms / MS - VERSION_MARGIN_S
        return self.goals.required(model, after_s)

    def oldest(self, model: str) -> int | None:
        """Return the oldest weights that an engine may have.

        ``None`` when an engine's are not known, or there is none: one that
        is just restarting comes back with what it had.
        """
        versions = [
            self.board.version(endpoint.id, model, endpoint.versions[model])
            for endpoint in self.feeds.registry.all()
            if model in endpoint.versions
        ]
        if not versions or not all(versions):
            return None
        return min(versions)
