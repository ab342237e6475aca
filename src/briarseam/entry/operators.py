"""Authentication of operators at an entry."""

from __future__ import annotations

import hmac
import typing

import cherrypy

from briarseam import tokens
from briarseam import verdict
from briarseam.entry import problems
from briarseam.entry import requests


class Operators:
    """The teams whose operators may query an entry.

    Parameters
    ----------
    teams
        Keys by team name.
    """

    def __init__(self, teams: typing.Mapping[str, bytes]) -> None:
        self.teams = teams

    def check(self) -> str:
        """Return the team that the current request's token belongs to.

        Raises
        ------
        problems.Problem
            When the token is missing or belongs to no team.
        """
        requests.check_framing()
        value = cherrypy.request.headers.get("Authorization", "")
        token = value.removeprefix(requests.BEARER).strip()
        team = token.partition(":")[0]
        key = self.teams.get(team)
        if key is None or not is_same_token(
            token, tokens.operator_token(team, key)
        ):
            raise problems.Problem(
                verdict.NotRun(
                    verdict.Reason.UNAUTHENTICATED,
                    "an operator's token is required",
                )
            )
        return str(team)


def is_same_token(one: str, other: str) -> bool:
    """Compare two tokens in constant time."""
    return hmac.compare_digest(one.encode(), other.encode())
