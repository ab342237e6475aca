"""Operators at an entry: who they are and what they may ask."""

from __future__ import annotations

import hmac
import typing

import cherrypy

from briarseam import tokens
from briarseam import verdict
from briarseam.entry import problems
from briarseam.entry import requests


class Operators:
    """The teams whose operators an entry answers.

    Parameters
    ----------
    teams
        Keys by team name.
    """

    def __init__(self, teams: typing.Mapping[str, bytes]) -> None:
        self.teams = teams

    def check(self) -> str:
        """Return the team of the current request's token.

        Raises
        ------
        problems.Problem
            When the token is no team's.
        """
        requests.check_framing()
        value = cherrypy.request.headers.get("Authorization", "")
        token = value.removeprefix(requests.BEARER).strip()
        team = token.partition(":")[0]
        key = self.teams.get(team)
        if key is None or not same(token, tokens.operator_token(team, key)):
            raise problems.Problem(
                verdict.NotRun(
                    verdict.Reason.UNAUTHENTICATED,
                    "this needs an operator's token",
                )
            )
        return str(team)


def same(one: str, other: str) -> bool:
    """Compare two tokens in constant time."""
    return hmac.compare_digest(one.encode(), other.encode())
