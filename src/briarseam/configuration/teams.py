"""Teams, the paths that they own, and the keys that sign their changes."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import hmac
import typing

if typing.TYPE_CHECKING:
    from briarseam.settings import sections

ANY = "*"


class TeamsError(ValueError):
    """Two teams own the same subtree, or a team lacks a name or key."""


@dataclasses.dataclass(frozen=True)
class Team:
    """A team and its subtree.

    Attributes
    ----------
    name
        Name of the team, the author of its changes.
    keys
        Secret keys; the first one signs and all of them verify, so that a
        key can be replaced without invalidating older records.
    prefixes
        Paths that the team owns: ``models`` or ``models/draft`` with all
        paths below, or ``endpoints/draft-*`` for names with that prefix.
    """

    name: str
    keys: tuple[bytes, ...]
    prefixes: tuple[str, ...]


def prefix_covers(prefix: str, path: str) -> bool:
    """Return whether ``prefix`` covers ``path``."""
    if prefix.endswith(ANY):
        return path.startswith(prefix[: -len(ANY)])
    subtree = prefix.rstrip("/")
    return path == subtree or path.startswith(subtree + "/")


@dataclasses.dataclass(frozen=True)
class Teams:
    """All teams of a deployment; identical in every agent's settings.

    Attributes
    ----------
    members
        The teams.
    """

    members: tuple[Team, ...] = ()

    def __post_init__(self) -> None:
        prefixes: set[str] = set()
        for team in self.members:
            if not team.name:
                raise TeamsError("a team has no name")
            for prefix in team.prefixes:
                if prefix in prefixes:
                    raise TeamsError(f"two teams own {prefix}")
                prefixes.add(prefix)

    @functools.cached_property
    def by_name(self) -> typing.Mapping[str, Team]:
        """The teams by name."""
        return {team.name: team for team in self.members}

    def owner(self, path: str) -> str | None:
        """Return the team that owns ``path``: the longest prefix wins."""
        longest = ""
        name = None
        for team in self.members:
            for prefix in team.prefixes:
                if prefix_covers(prefix, path) and len(prefix) > len(longest):
                    longest = prefix
                    name = team.name
        return name

    def sign(self, author: str, data: bytes) -> bytes:
        """Return the proof of ``data`` with ``author``'s first key.

        Raises
        ------
        TeamsError
            When this process does not hold the author's key.
        """
        team = self.by_name.get(author)
        if team is None or not team.keys:
            raise TeamsError(f"the settings have no key of team {author}")
        return hmac.digest(team.keys[0], data, hashlib.sha256)

    def verifies(self, author: str, data: bytes, proof: bytes) -> bool:
        """Return whether ``proof`` is ``author``'s proof of ``data``."""
        team = self.by_name.get(author)
        if team is None:
            return False
        return any(
            hmac.compare_digest(hmac.digest(key, data, hashlib.sha256), proof)
            for key in team.keys
        )


def from_settings(teams: typing.Iterable[sections.Team]) -> Teams:
    """Return the teams of a settings file.

    Raises
    ------
    TeamsError
        When two teams own the same subtree.
    """
    return Teams(
        tuple(
            Team(team.name, keys_of(team), tuple(team.paths)) for team in teams
        )
    )


def keys_of(team: sections.Team) -> tuple[bytes, ...]:
    """Return a team's keys; the first one signs."""
    if team.old_key is None:
        return (team.key.value,)
    return (team.key.value, team.old_key.value)
