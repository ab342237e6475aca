"""Who may set which paths, and the keys that prove it."""

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
    """Two teams hold the same subtree, or a team has no name."""


@dataclasses.dataclass(frozen=True)
class Team:
    """One team and its subtree.

    Attributes
    ----------
    name
        Its name, the author of its changes.
    keys
        Secret keys; the first signs, all of them verify, so that a key can
        be replaced without making older records invalid.
    prefixes
        Paths it holds: ``models`` or ``models/draft`` with everything
        below, or ``endpoints/draft-*`` for names that begin so.
    """

    name: str
    keys: tuple[bytes, ...]
    prefixes: tuple[str, ...]


def prefix_covers(prefix: str, path: str) -> bool:
    """Tell whether ``path`` lies under ``prefix``."""
    if prefix.endswith(ANY):
        return path.startswith(prefix[: -len(ANY)])
    subtree = prefix.rstrip("/")
    return path == subtree or path.startswith(subtree + "/")


@dataclasses.dataclass(frozen=True)
class Teams:
    """All teams of a deployment; the same in every agent's settings.

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
                    raise TeamsError(f"two teams hold {prefix}")
                prefixes.add(prefix)

    @functools.cached_property
    def by_name(self) -> typing.Mapping[str, Team]:
        """The teams by name."""
        return {team.name: team for team in self.members}

    def owner(self, path: str) -> str | None:
        """Return the team that holds ``path``: the longest prefix wins."""
        longest = ""
        name = None
        for team in self.members:
            for prefix in team.prefixes:
                if prefix_covers(prefix, path) and len(prefix) > len(longest):
                    longest = prefix
                    name = team.name
        return name

    def sign(self, author: str, data: bytes) -> bytes:
        """Return the proof of ``data`` by ``author``'s first key.

        Raises
        ------
        TeamsError
            When this process does not hold the author's key.
        """
        team = self.by_name.get(author)
        if team is None or not team.keys:
            raise TeamsError(f"no key of team {author} in the settings")
        return hmac.digest(team.keys[0], data, hashlib.sha256)

    def verifies(self, author: str, data: bytes, proof: bytes) -> bool:
        """Tell whether ``proof`` shows that ``author`` wrote ``data``."""
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
        When two of them hold the same subtree.
    """
    return Teams(
        tuple(
            Team(team.name, keys_of(team), tuple(team.paths)) for team in teams
        )
    )


def keys_of(team: sections.Team) -> tuple[bytes, ...]:
    """Return a team's keys, the one that signs first."""
    if team.old_key is None:
        return (team.key.value,)
    return (team.key.value, team.old_key.value)
