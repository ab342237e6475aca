"""Bringing a deployment into the settings of an arm."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.configuration import fold as folds
from briarseam.configuration import loading
from briarseam.configuration import publish
from briarseam.configuration import records

if typing.TYPE_CHECKING:
    from briarseam.backing import log as platform_log
    from briarseam.bench import experiment
    from briarseam.configuration import teams as team_types

OPERATOR = "bench"


class ArmError(Exception):
    """The deployment did not take an arm's settings."""


@dataclasses.dataclass(frozen=True)
class Operator:
    """Who may read and change the configuration.

    Attributes
    ----------
    client
        The log.
    teams
        The teams with their keys.
    snapshot_key
        Key of the snapshots.
    """

    client: platform_log.LogClient
    teams: team_types.Teams
    snapshot_key: bytes

    def load(self) -> folds.Fold:
        """Return the configuration in force."""
        return loading.load(self.client, self.teams, self.snapshot_key)


def parse_text(text: str) -> typing.Any:
    """Return a number where the text is one, else the text."""
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


def apply(
    arm: experiment.Arm,
    operator: Operator,
) -> int:
    """Publish an arm's settings; return the offset they are in force from.

    Raises
    ------
    ArmError
        When they were not accepted.
    """
    teams = operator.teams
    fold = operator.load()
    values = fold.values()
    sets: dict[str, typing.Any] = {}
    for place, text in arm.sets.items():
        path, _, field = place.rpartition(".")
        present = sets.get(path, dict(values.get(path) or {}))
        sets[path] = {**present, field: parse_text(text)}
    if not sets:
        return fold.offset
    author = teams.owner(next(iter(sets)))
    if author is None:
        raise ArmError(f"no team owns {next(iter(sets))}")
    change = records.Change(
        id=records.new_id(),
        author=author,
        operator=OPERATOR,
        base=fold.offset,
        expects={path: fold.revision(path) for path in sets},
        sets=sets,
    )
    publisher = publish.Publisher(operator.client, teams, fold)
    outcome = publisher.apply(change)
    if not isinstance(outcome, folds.Accepted):
        raise ArmError(f"arm {arm.name}: {outcome}")
    return outcome.offset
