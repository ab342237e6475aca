"""The validated settings of an instance and where each value came from."""

from __future__ import annotations

import dataclasses

from briarseam.settings import sections


@dataclasses.dataclass(frozen=True)
class FileLine:
    """A value that stands in a settings file.

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
    """A value that no file sets."""

    def __str__(self) -> str:
        """Return ``default``."""
        return "default"


@dataclasses.dataclass(frozen=True)
class CommandLine:
    """A value that was set on the command line."""

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
        Key in the section; its ending tells the unit.
    value
        The value in force; secrets are hidden.
    source
        Where it came from.
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
        The file they were read from.
    instance, agent, entry, platform, claims, logging, limits
        The sections.
    teams
        Teams of operators, in the order of the file.
    sources
        Where each value came from, by section and key.
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
        """Return every value in force with its source, secrets hidden."""
        return tuple(
            ExplainedValue(
                section, key, format_value(self.value(section, key)), source
            )
            for (section, key), source in self.sources.items()
        )

    def value(self, section: str, key: str) -> Value:
        """Return the value in force of one key.

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
    """Return a value as text for people."""
    match value:
        case None:
            return ""
        case tuple():
            return ", ".join(str(item) for item in value)
        case _:
            return str(value)
