"""Asking an entry over HTTP, for the operators' subcommands."""

from __future__ import annotations

import dataclasses
import sys
import typing

import msgspec
import urllib3

from briarseam import bounded_http
from briarseam import tokens
from briarseam.command import options

if typing.TYPE_CHECKING:
    import argparse

TIMEOUT_S = 5.0
HTTP_OK = 200
EXIT_UNREACHABLE = 3
Answer = typing.TypeVar("Answer")


class AskError(Exception):
    """The entry did not give what was asked."""


@dataclasses.dataclass(frozen=True)
class Asker:
    """Who asks which entry.

    Attributes
    ----------
    entry
        ``ip:port``.
    token
        Bearer token.
    timeout_s
        Bound on the wait for an answer.
    """

    entry: str
    token: str
    timeout_s: float = TIMEOUT_S

    def get(
        self,
        path: str,
        kind: type[Answer],
        fields: typing.Mapping[str, str] | None = None,
    ) -> Answer:
        """Return the validated JSON answer of a path.

        Raises
        ------
        AskError
            When the entry is away, refuses, or is not understood.
        """
        url = f"http://{self.entry}{path}"
        try:
            response = bounded_http.pool_manager(retries=False).request(
                "GET",
                url,
                fields=dict(fields or {}),
                headers={"Authorization": f"Bearer {self.token}"},
                timeout=self.timeout_s,
            )
            if response.status != HTTP_OK:
                detail = response.data.decode(errors="replace")
                raise AskError(f"{url} answered {response.status}: {detail}")
            return msgspec.json.decode(response.data, type=kind)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            raise AskError(f"{url}: {error}") from error


def add_operator(parser: argparse.ArgumentParser) -> None:
    """Add the options that say which entry to ask and as whom."""
    options.add_settings(parser)
    parser.add_argument(
        "--entry",
        metavar="IP:PORT",
        type=options.address,
        help="entry to ask; the settings' own unless given",
    )
    parser.add_argument(
        "--team",
        metavar="NAME",
        help="team to ask as; the settings' first unless given",
    )


def operator_asker(args: argparse.Namespace) -> Asker:
    """Return the asker that the options name.

    Raises
    ------
    AskError
        When the settings have no such team.
    """
    settings = options.load_settings(args)
    entry = args.entry or settings.entry.listen
    for team in settings.teams:
        if args.team in (None, team.name):
            token = tokens.operator_token(team.name, team.key.value)
            return Asker(str(entry), token)
    raise AskError(f"{settings.path} has no team {args.team or ''}".strip())


def fail(error: AskError) -> int:
    """Print why there is no answer; return the exit status."""
    print(f"briarseam: {error}", file=sys.stderr)
    return EXIT_UNREACHABLE
