"""The validated settings of an instance and the source of each value."""

from __future__ import annotations

import dataclasses

from briarseam.settings import sections


@dataclasses.dataclass(frozen=True)
class FileLine:
    """Source of a value set in a settings file.

    Attributes
    ----------
    path
        The file.
    line
        Line of the key, from 1.
    """

    path: str
    line: int

    def __str__(self) -> str:
        """Return ``file:line``."""
        return f"{self.path}:{self.line}"


@dataclasses.dataclass(frozen=True)
class Default:
    """Source of a value that is not set and has its default."""

    def __str__(self) -> str:
        """Return ``default``."""
        return "default"


@dataclasses.dataclass(frozen=True)
class CommandLine:
    """Source of a value set on the command line."""

    def __str__(self) -> str:
        """Return ``command line``."""
        return "command line"


Source = FileLine | Default | CommandLine
Value = (
    str
    | int
    | float
    | sections.Address
    | sections.Secret
    | sections.Addresses
    | sections.Paths
    | None
)


@dataclasses.dataclass(frozen=True)
class ExplainedValue:
    """One value with its source.

    Attributes
    ----------
    section
        Section, without brackets.
    key
        Key in the section; its suffix gives the unit.
    value
        Effective value as text; secrets are hidden.
    source
        Source of the value.
    """

    section: str
    key: str
    value: str
    source: Source


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one instance, validated.

    Attributes
    ----------
    path
        The file that the settings were read from.
    instance, agent, entry, platform, claims, logging, limits
        The sections.
    teams
        Teams of operators, in the order of the file.
    sources
        Source of each value, by section and key.
    """

    path: str
    instance: sections.Instance
    agent: sections.Agent
    entry: sections.Entry
    platform: sections.Platform
    claims: sections.Claims
    logging: sections.Logging
    limits: sections.Limits
    teams: tuple[sections.Team, ...]
    sources: dict[tuple[str, str], Source]

    def explain(self) -> tuple[ExplainedValue, ...]:
        """Return all effective values with their sources, secrets hidden."""
        return tuple(
            ExplainedValue(
                section, key, format_value(self.value(section, key)), source
            )
            for (section, key), source in self.sources.items()
        )

    def value(self, section: str, key: str) -> Value:
        """Return the effective value of one key.

        Raises
        ------
        KeyError
            If there is no such section.
        """
        for team in self.teams:
            if section == f"team {team.name}":
                team_value: Value = getattr(team, key)
                return team_value
        if section not in {name for name, _ in self.sources}:
            raise KeyError(section)
        value: Value = getattr(getattr(self, section), key)
        return value


def format_value(value: Value) -> str:
    """Return a value as human-readable text."""
    match value:
        case None:
            return ""
        case tuple():
            return ", ".join(str(item) for item in value)
        case _:
            return str(value)
