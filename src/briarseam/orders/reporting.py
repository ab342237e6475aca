"""Reporting the progress of rollouts to operators."""

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
    """One scope and its rollout in this process."""

    scope: goals.Scope
    rollout: rollouts.Rollout


class ModelProgress(typing.NamedTuple):
    """Progress of one model of a scope.

    Attributes
    ----------
    scope, goal
        The scope and the desired state of the model.
    statuses
        Status by engine.
    rollout
        Rollout of the scope in this process.
    """

    scope: goals.Scope
    goal: goals.ModelGoal
    statuses: dict[str, state.VersionStatus]
    rollout: rollouts.Rollout


class Reporting:
    """Reports the progress of rollouts as one process sees it.

    Parameters
    ----------
    own_name
        Name of this process.
    leases
        Give the holder of each lease, which issues the orders.
    engine_reports
        Reports of the engines.
    peers
        The other processes.
    clock
        Returns seconds.

    Attributes
    ----------
    offset
        Offset of the configuration.
    scope_rollouts
        All scopes of the configuration.
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
        """Register the handler of operators' queries."""
        router.on(messages.AskRollouts, self.answer)

    def update(self) -> None:
        """Record which models have changed."""
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
        """Yield the progress of each model of each scope."""
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
        """Return the progress of each model as this process sees it."""
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
        """Return the progress of the models that this process reports.

        These are the models that it issues orders for.  The first
        candidate for a lease also reports those that no known process
        issues orders for.
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
        """Return whether this process is first in line for any lease."""
        return any(
            self.peers.precedence(part.scope.lease) == 0
            for part in self.scope_rollouts
        )

    def count_stuck(self) -> float:
        """Return the number of models whose rollout is stuck."""
        return sum(model.stuck for model in self.status())

    def answer(
        self, peer: connection.Identity, request: messages.AskRollouts
    ) -> messages.Rollouts:
        """Answer an operator's query for the progress of rollouts."""
        del peer, request
        return messages.Rollouts(self.own_name, self.offset, self.status())


def watch_key(scope: goals.Scope, goal: goals.ModelGoal) -> str:
    """Return the key under which the model of a scope is watched."""
    return f"{scope.lease} {goal.model}"
