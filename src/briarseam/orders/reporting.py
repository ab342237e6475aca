"""Telling operators how far the rollouts are."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.orders import messages
from briarseam.orders import status

if typing.TYPE_CHECKING:
    from briarseam.leases import service as leases_service
    from briarseam.orders import goals
    from briarseam.orders import issuer as issuer_module
    from briarseam.orders import peers as peers_module
    from briarseam.orders import planner
    from briarseam.orders import rollout as rollouts
    from briarseam.orders import state
    from briarseam.wire import connection
    from briarseam.wire import server


@dataclasses.dataclass(frozen=True)
class ScopeRollout:
    """One scope and what is done about it here."""

    scope: goals.Scope
    rollout: rollouts.Rollout


class ModelProgress(typing.NamedTuple):
    """How one model of a scope stands."""

    scope: goals.Scope
    goal: goals.ModelGoal
    statuses: dict[str, state.VersionStatus]
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
        own_name: str,
        leases: leases_service.Leases,
        engine_reports: state.EngineReports,
        peers: peers_module.Peers,
        clock: issuer_module.Clock,
    ) -> None:
        self.own_name = own_name
        self.leases = leases
        self.engine_reports = engine_reports
        self.peers = peers
        self.clock = clock
        self.offset = 0
        self.scope_rollouts: tuple[ScopeRollout, ...] = ()
        self.watch = status.ProgressWatch()

    def register(self, router: server.Router) -> None:
        """Answer operators' questions."""
        router.on(messages.AskRollouts, self.answer)

    def update(self) -> None:
        """Note which models have moved."""
        reports = self.engine_reports.all()
        now_s = self.clock()
        for scope, goal, statuses, _ in self.model_progress(reports):
            progress = status.progress_of(goal.model, reports)
            done = status.is_done(statuses)
            observed = None if done else (statuses, progress)
            self.watch.update(watch_key(scope, goal), observed, now_s)

    def model_progress(
        self, reports: planner.Reports
    ) -> typing.Iterator[ModelProgress]:
        """Yield how each model of each scope stands."""
        for part in self.scope_rollouts:
            scope = part.scope
            load_orders = dict(part.rollout.issuer.load_orders)
            for goal in scope.goals.values():
                statuses = status.statuses_of(
                    goal,
                    scope.targets_of_model(goal.model),
                    reports,
                    load_orders,
                )
                yield ModelProgress(scope, goal, statuses, part.rollout)

    def status(self) -> tuple[messages.ModelRollout, ...]:
        """Return how far each model is, as this process sees it."""
        now_s = self.clock()
        return tuple(
            status.model_rollout(
                goal,
                statuses,
                self.leases.holder_of(scope.lease),
                self.watch.unchanged_s(watch_key(scope, goal), now_s),
                status.reason_of(goal.model, rollout, statuses),
            )
            for scope, goal, statuses, rollout in self.model_progress(
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
                and self.is_first_candidate()
            )
        )

    def is_first_candidate(self) -> bool:
        """Tell whether this process is first for any lease."""
        return any(
            self.peers.precedence(part.scope.lease) == 0
            for part in self.scope_rollouts
        )

    def count_stuck(self) -> float:
        """Return how many models have not moved for long."""
        return sum(model.stuck for model in self.status())

    def answer(
        self, peer: connection.Identity, request: messages.AskRollouts
    ) -> messages.Rollouts:
        """Tell an operator how far the rollouts are."""
        del peer, request
        return messages.Rollouts(self.own_name, self.offset, self.status())


def watch_key(scope: goals.Scope, goal: goals.ModelGoal) -> str:
    """Return the name under which a scope's model is watched."""
    return f"{scope.lease} {goal.model}"
