"""Plans the changes that bring a tree in line with declarations."""

from __future__ import annotations

import dataclasses
import enum
import typing

from briarseam.configuration import fold as folds
from briarseam.configuration import records

if typing.TYPE_CHECKING:
    from briarseam.configuration import teams as team_types


class Action(enum.StrEnum):
    """The action on a path."""

    ADD = "add"
    CHANGE = "change"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True)
class Step:
    """The change of one path.

    Attributes
    ----------
    action
        The action on the path.
    path
        Path in the tree.
    before, after
        The values; ``None`` when absent.
    revision
        The current revision; 0 when absent.
    conflict
        Whether the path was set after the offset that the declarations are
        based on.
    """

    action: Action
    path: str
    before: typing.Any
    after: typing.Any
    revision: int
    conflict: bool = False

    def differences(self) -> tuple[str, ...]:
        """Return a description of each field that differs."""
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
    """The changes that a team's declarations require.

    Attributes
    ----------
    team
        The author.
    base
        Offset of the tree that the plan is made for.
    steps
        Changes in order of path.
    foreign
        Declared paths that other teams own, which are not changed.
    unchanged
        Number of declared paths that are already as declared.
    """

    team: str
    base: int
    steps: tuple[Step, ...]
    foreign: tuple[str, ...]
    unchanged: int

    def conflicts(self) -> tuple[Step, ...]:
        """Return the steps whose path was set in the meantime."""
        return tuple(step for step in self.steps if step.conflict)

    def change(self, operator: str) -> records.Change:
        """Return the atomic change that executes the plan."""
        return records.Change(
            id=records.new_id(),
            author=self.team,
            operator=operator,
            base=self.base,
            expects={step.path: step.revision for step in self.steps},
            sets={step.path: step.after for step in self.steps},
        )


def format_value(value: typing.Any) -> str:
    """Return a field's value in the format of the INI files."""
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
    """Return the plan that brings a team's subtree in line with declarations.

    Parameters
    ----------
    fold
        The current tree.
    teams
        Owners of the paths.
    team
        The author; undeclared paths of its subtree are deleted.
    declared
        Values by path.
    based_on
        Offset that the declarations are based on; a path set after it is a
        conflict.
    """
    declared_own = {path for path in declared if teams.owner(path) == team}
    existing = {path for path in fold.entries if teams.owner(path) == team}
    steps = [
        plan_step(fold, path, declared.get(path), based_on)
        for path in sorted(declared_own | existing)
    ]
    changed = tuple(step for step in steps if step is not None)
    return Plan(
        team=team,
        base=fold.offset,
        steps=changed,
        foreign=tuple(sorted(set(declared) - declared_own)),
        unchanged=len(steps) - len(changed),
    )


def plan_step(
    fold: folds.Fold, path: str, after: typing.Any, based_on: int | None
) -> Step | None:
    """Return the step for one path, or ``None`` if it is unchanged."""
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
