"""What a set of declarations would change in a tree."""

from __future__ import annotations

import dataclasses
import enum
import typing

from briarseam.configuration import fold as folds
from briarseam.configuration import records

if typing.TYPE_CHECKING:
    from briarseam.configuration import teams as team_types


class Action(enum.StrEnum):
    """What happens to a path."""

    ADD = "add"
    CHANGE = "change"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True)
class Step:
    """One path of a plan.

    Attributes
    ----------
    action
        What happens to it.
    path
        Path in the tree.
    before, after
        Its value; ``None`` when absent.
    revision
        Its present revision, 0 when absent.
    conflict
        Whether it was set after the offset that the declarations are based
        on.
    """

    action: Action
    path: str
    before: typing.Any
    after: typing.Any
    revision: int
    conflict: bool = False

    def differences(self) -> tuple[str, ...]:
        """Return one text for each field that differs."""
        if self.action is Action.DELETE:
            return ()
        after = self.after
        if self.action is Action.ADD:
            return tuple(
                f"{key} = {format_value(after[key])}" for key in after
            )
        before = self.before
        keys = [*before, *[key for key in after if key not in before]]
        return tuple(
            f"{key}: {format_value(before.get(key))}"
            f" -> {format_value(after.get(key))}"
            for key in keys
            if before.get(key) != after.get(key)
        )


@dataclasses.dataclass(frozen=True)
class Plan:
    """What one team's declarations would change.

    Attributes
    ----------
    team
        The author.
    base
        Offset of the tree that it was made on.
    steps
        Changes by path.
    foreign
        Declared paths that other teams hold; they are left alone.
    unchanged
        Number of declared paths that stand already.
    """

    team: str
    base: int
    steps: tuple[Step, ...]
    foreign: tuple[str, ...]
    unchanged: int

    def conflicts(self) -> tuple[Step, ...]:
        """Return the steps that someone else came before."""
        return tuple(step for step in self.steps if step.conflict)

    def change(self, operator: str) -> records.Change:
        """Return the one atomic change that carries it out."""
        return records.Change(
            id=records.new_id(),
            author=self.team,
            operator=operator,
            base=self.base,
            expects={step.path: step.revision for step in self.steps},
            sets={step.path: step.after for step in self.steps},
        )


def format_value(value: typing.Any) -> str:
    """Return a field's value as an operator would write it."""
    match value:
        case None:
            return "(default)"
        case bool():
            return str(value).lower()
        case list() | tuple():
            return ", ".join(map(str, value)) or "(none)"
        case _:
            return str(value)


def make_plan(
    fold: folds.Fold,
    teams: team_types.Teams,
    team: str,
    declared: typing.Mapping[str, typing.Any],
    based_on: int | None = None,
) -> Plan:
    """Return the plan that makes a team's subtree what is declared.

    Parameters
    ----------
    fold
        The present tree.
    teams
        Who holds which path.
    team
        The author; paths of its subtree that are not declared are deleted.
    declared
        Values by path.
    based_on
        Offset that the declarations are based on; a path set after it is a
        conflict.
    """
    own = {path for path in declared if teams.owner(path) == team}
    held = {path for path in fold.entries if teams.owner(path) == team}
    steps = [
        plan_step(fold, path, declared.get(path), based_on)
        for path in sorted(own | held)
    ]
    changed = tuple(found for found in steps if found is not None)
    return Plan(
        team=team,
        base=fold.offset,
        steps=changed,
        foreign=tuple(sorted(set(declared) - own)),
        unchanged=len(steps) - len(changed),
    )


def plan_step(
    fold: folds.Fold, path: str, after: typing.Any, based_on: int | None
) -> Step | None:
    """Return what happens to one path, ``None`` for nothing."""
    entry = fold.entries.get(path)
    before = entry.value if entry else None
    if before == after:
        return None
    action = Action.CHANGE
    if before is None:
        action = Action.ADD
    elif after is None:
        action = Action.DELETE
    revision = fold.revision(path)
    conflict = based_on is not None and revision > based_on
    return Step(action, path, before, after, revision, conflict)
