"""What ``briarseam config`` prints, wide, narrow or as JSON."""

from __future__ import annotations

import dataclasses
import datetime
import typing

from briarseam import wrapping
from briarseam.command import output
from briarseam.configuration import fold as folds
from briarseam.configuration import plans
from briarseam.configuration import publish

if typing.TYPE_CHECKING:
    import argparse

    from briarseam.configuration import following
    from briarseam.configuration import history
    from briarseam.configuration import teams as team_types

MARKS = {
    plans.Action.ADD: "+",
    plans.Action.CHANGE: "~",
    plans.Action.DELETE: "-",
}
PATHS_SHOWN = 3


@dataclasses.dataclass(frozen=True)
class PathRow:
    """One path as printed in JSON."""

    path: str
    revision: int
    team: str
    value: typing.Any


@dataclasses.dataclass(frozen=True)
class HistoryRow:
    """One past change as printed in JSON."""

    offset: int
    time: str
    team: str
    operator: str
    outcome: str
    id: str
    paths: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class OutcomeRow:
    """What became of a change, as printed in JSON."""

    outcome: str
    offset: int = 0
    path: str = ""
    winning_revision: int = 0
    id: str = ""
    detail: str = ""


@dataclasses.dataclass
class Report:
    """Everything about one change, as printed in JSON.

    Attributes
    ----------
    plan
        What it changes.
    outcome
        What became of it; ``None`` when nothing was published.
    agents
        Who has it in force; ``None`` when that was not followed.
    """

    plan: plans.Plan | None = None
    outcome: OutcomeRow | None = None
    agents: following.Propagation | None = None


class Output:
    """Prints in the form that the options ask for.

    With ``--json`` everything about one change is one document, printed by
    :meth:`finish`.
    """

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.as_json = bool(getattr(args, "json", False))
        self.report = Report()

    def say(self, text: str, indent: str = "") -> None:
        """Print one sentence, folded when narrow."""
        if output.is_narrow(self.args):
            for line in wrapping.wrapped(text, indent):
                print(line, flush=True)
            return
        print(f"{indent}{text}", flush=True)

    def entry(self, path: str, entry: folds.Entry, team: str | None) -> None:
        """Print one path."""
        if self.as_json:
            output.print_json(
                PathRow(path, entry.revision, team or "", entry.value)
            )
            return
        self.say(f"[{path}]")
        for key, value in entry.value.items():
            self.say(f"{key} = {plans.format_value(value)}")
        self.say(f"# offset {entry.revision}, team {team}")

    def tree(
        self, fold: folds.Fold, prefix: str, teams: team_types.Teams
    ) -> None:
        """Print all paths below a prefix."""
        rows = [
            PathRow(path, entry.revision, teams.owner(path) or "", entry.value)
            for path, entry in sorted(fold.entries.items())
            if path.startswith(prefix)
        ]
        if self.as_json:
            output.print_json(rows)
            return
        output.print_records(
            self.args,
            ("path", "set"),
            [
                (row.path, f"at offset {row.revision}, team {row.team}")
                for row in rows
            ],
        )
        self.say(f"{len(rows)} paths at offset {fold.offset}")

    def plan(self, plan: plans.Plan) -> None:
        """Print a plan."""
        self.report.plan = plan
        if self.as_json:
            return
        for step in plan.steps:
            word = " CONFLICT" if step.conflict else ""
            self.say(f"{MARKS[step.action]} {step.path}{word}")
            if step.conflict:
                self.say(f"set since, at offset {step.revision}", "    ")
            for difference in step.differences():
                self.say(difference, "    ")
        if plan.foreign:
            self.say(
                f"{len(plan.foreign)} paths of other teams are left alone"
            )
        self.say(summary(plan))

    def outcome(self, outcome: publish.Outcome, fold: folds.Fold) -> None:
        """Print what became of a change."""
        row = outcome_row(outcome, fold)
        self.report.outcome = row
        if self.as_json:
            return
        match outcome:
            case folds.Accepted(offset):
                self.say(f"accepted at offset {offset}")
            case folds.Rejected():
                self.say(f"rejected: {row.detail}")
                self.say("nothing was changed")
            case publish.NotAppended():
                self.say(f"not applied: {row.detail}")
                self.say("it will not take effect later; ask again")
            case publish.Unknown():
                self.say(f"unknown: {row.detail}")
                self.say("it may be in force now or later; look for it with")
                self.say("briarseam config history", "  ")
                self.say(f"id {row.id}", "  ")

    def followed(self, found: following.Propagation) -> None:
        """Print who has a change in force."""
        self.report.agents = found
        if self.as_json:
            return
        waited = f"after {found.waited_s:.1f} s"
        count = len(found.reached)
        if found.done() and found.listed:
            self.say(f"in force at all {count} live agents {waited}")
            return
        if found.done():
            self.say(f"in force at the {count} agents of this cell {waited}")
            self.say("other cells were not asked: none is listed")
            return
        self.say(f"in force at {count} agents {waited}, not at:")
        for agent in found.stragglers:
            self.say(straggler_text(agent), "  ")
        for name in found.unseen:
            self.say(f"{name}: no entry tells of it", "  ")
        if not (found.stragglers or found.unseen):
            self.say("no entry answered", "  ")

    def finish(self) -> None:
        """Print the whole report when JSON is asked for."""
        if self.as_json:
            output.print_json(self.report)

    def history(self, events: typing.Sequence[history.Event]) -> None:
        """Print past changes, the oldest first."""
        rows = [history_row(event) for event in events]
        if self.as_json:
            output.print_json(rows)
            return
        output.print_records(
            self.args,
            ("offset", "when", "who", "outcome", "paths"),
            [
                (
                    str(row.offset),
                    row.time,
                    f"{row.operator} of {row.team}" if row.team else "unknown",
                    row.outcome,
                    paths_text(row.paths),
                )
                for row in rows
            ],
        )


def straggler_text(agent: following.AgentStatus) -> str:
    """Return how far an agent is that has not reported the change."""
    if not agent.reached:
        return f"{agent.name}: {agent.state}, does not answer"
    return (
        f"{agent.name}: {agent.state}, still at offset"
        f" {agent.configuration_offset}"
    )


def summary(plan: plans.Plan) -> str:
    """Return a plan's counts in one line."""
    counts = {action: 0 for action in plans.Action}
    for step in plan.steps:
        counts[step.action] += 1
    if not plan.steps:
        return f"nothing to change for team {plan.team}"
    conflicts = len(plan.conflicts())
    tail = f", {conflicts} in conflict: nothing applied" if conflicts else ""
    return (
        f"team {plan.team}: {counts[plans.Action.ADD]} to add,"
        f" {counts[plans.Action.CHANGE]} to change,"
        f" {counts[plans.Action.DELETE]} to delete{tail}"
    )


def outcome_row(outcome: publish.Outcome, fold: folds.Fold) -> OutcomeRow:
    """Return the JSON form of an outcome."""
    match outcome:
        case folds.Accepted(offset):
            return OutcomeRow("accepted", offset)
        case folds.Rejected(offset, reason, path, winner):
            return OutcomeRow(
                "rejected",
                offset,
                path,
                winner,
                detail=rejection(reason, path, winner),
            )
        case publish.NotAppended(detail):
            return OutcomeRow("not-applied", detail=detail)
        case publish.Unknown(change_id, detail):
            return OutcomeRow(
                "unknown", fold.offset, id=change_id, detail=detail
            )


def rejection(reason: folds.RejectReason, path: str, winner: int) -> str:
    """Return in words why a change was rejected."""
    match reason:
        case folds.RejectReason.CONFLICT if winner:
            return f"{path} was set meanwhile, offset {winner} won"
        case folds.RejectReason.CONFLICT:
            return f"{path} was deleted meanwhile"
        case folds.RejectReason.NOT_OWNED:
            return f"{path} belongs to another team"
        case folds.RejectReason.STALE:
            return "it was planned on a tree that is too old; plan again"
        case _:
            return str(reason)


def history_row(event: history.Event) -> HistoryRow:
    """Return one past change as printed."""
    when = datetime.datetime.fromtimestamp(
        event.time_ms / 1000, tz=datetime.UTC
    )
    return HistoryRow(
        offset=event.offset,
        time=when.strftime("%Y-%m-%d %H:%M:%SZ"),
        team=event.team,
        operator=event.operator,
        outcome=verdict_text(event.verdict),
        id=event.id,
        paths=tuple(
            ("-" if value is None else "") + path
            for path, value in event.sets.items()
        ),
    )


def verdict_text(verdict: folds.FoldVerdict) -> str:
    """Return a verdict in words."""
    match verdict:
        case folds.Accepted():
            return "accepted"
        case folds.Duplicate(first=first):
            return f"double of {first}"
        case folds.Rejected(_, reason, path, winner) if path:
            return f"rejected, {reason}: {path} at {winner}"
        case folds.Rejected(reason=reason):
            return f"rejected, {reason}"
        case folds.StoppedUnknownVersion(version=version):
            return f"stopped, version {version} is not known"


def paths_text(paths: typing.Sequence[str]) -> str:
    """Return the first paths and how many more there are."""
    shown = ", ".join(paths[:PATHS_SHOWN])
    more = len(paths) - PATHS_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown
