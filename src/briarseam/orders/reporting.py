"""Telling operators how far the rollouts are."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.orders import messages
from briarseam.orders import status

if typing.TYPE_CHECKING:
    from briarseam.leases import service as leases_service
    from briarseam.orders import giver as givers
    from briarseam.orders import goals
    from briarseam.orders import peers as peers_module
    from briarseam.orders import planner
    from briarseam.orders import rollout as rollouts
    from briarseam.orders import state
    from briarseam.wire import connection
    from briarseam.wire import server


@dataclasses.dataclass(frozen=True)
class Work:
    """One scope and what is done about it here."""

    scope: goals.Scope
    rollout: rollouts.Rollout


class Picture(typing.NamedTuple):
    """How one model of a scope stands."""

    scope: goals.Scope
    goal: goals.ModelGoal
    standings: dict[str, state.Standing]
    rollout: rollouts.Rollout


class Reporting:
    """What one process says about the rollouts.

    Parameters
    ----------
    me
        Name of this process.
    leases
        Tell who gives the orders.
    engine_reports
        What engines report.
    peers
        The other processes.
    clock
        Seconds.
    """

    def __init__(
        self,
        me: str,
        leases: leases_service.Leases,
        engine_reports: state.EngineReports,
        peers: peers_module.Peers,
        clock: givers.Clock,
    ) -> None:
        self.me = me
        self.leases = leases
        self.engine_reports = engine_reports
        self.peers = peers
        self.clock = clock
        self.offset = 0
        self.work: tuple[Work, ...] = ()
        self.watch = status.Watch()

    def register(self, router: server.Router) -> None:
        """Answer operators' questions."""
        router.on(messages.AskRollouts, self.answer)

    def look(self) -> None:
        """Note which models have moved."""
        reports = self.engine_reports.all()
        now_s = self.clock()
        for scope, goal, standings, _ in self.pictures(reports):
            progress = status.progress_of(goal.model, reports)
            done = status.is_done(standings)
            picture = None if done else (standings, progress)
            self.watch.look(watched(scope, goal), picture, now_s)

    def pictures(self, reports: planner.Reports) -> typing.Iterator[Picture]:
        """Yield how each model of each scope stands."""
        for work in self.work:
            scope = work.scope
            errands = dict(work.rollout.giver.errands)
            for goal in scope.goals.values():
                standings = status.picture_of(
                    goal, scope.of_model(goal.model), reports, errands
                )
                yield Picture(scope, goal, standings, work.rollout)

    def status(self) -> tuple[messages.ModelRollout, ...]:
        """Return how far each model is, as this process sees it."""
        now_s = self.clock()
        return tuple(
            status.model_rollout(
                goal,
                standings,
                self.leases.holder_of(scope.lease),
                self.watch.unchanged_s(watched(scope, goal), now_s),
                status.reason_of(goal.model, work, standings),
            )
            for scope, goal, standings, work in self.pictures(
                self.engine_reports.all()
            )
        )

    def led_rollouts(self) -> tuple[messages.ModelRollout, ...]:
        """Return how far the models are that this process answers for.

        Those that it gives orders for, and, first in line, those that no
        process it knows gives orders for.
        """
        known = self.peers.known()
        return tuple(
            model
            for model in self.status()
            if model.holder == self.leases.holder
            or (
                model.holder.partition("/")[0] not in known
                and self.first_in_line()
            )
        )

    def first_in_line(self) -> bool:
        """Tell whether this process is first for any lease."""
        return any(
            self.peers.precedence(work.scope.lease) == 0 for work in self.work
        )

    def count_stuck(self) -> float:
        """Return how many models have not moved for long."""
        return sum(model.stuck for model in self.status())

    def answer(
        self, peer: connection.Identity, request: messages.AskRollouts
    ) -> messages.Rollouts:
        """Tell an operator how far the rollouts are."""
        del peer, request
        return messages.Rollouts(self.me, self.offset, self.status())


def watched(scope: goals.Scope, goal: goals.ModelGoal) -> str:
    """Return the name under which a scope's model is watched."""
    return f"{scope.lease} {goal.model}"
