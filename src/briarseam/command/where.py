"""``briarseam where``: which entries a session should use."""

from __future__ import annotations

import typing

from briarseam.command import http
from briarseam.command import options
from briarseam.command import output
from briarseam.lookup import messages

if typing.TYPE_CHECKING:
    import argparse


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    parser.add_argument(
        "--entry",
        metavar="IP:PORT",
        type=options.address,
        required=True,
        help="entry to ask",
    )
    parser.add_argument(
        "--token", required=True, help="the caller's bearer token"
    )
    parser.add_argument("--session", default="", help="name of the session")
    options.add_output(parser)


def execute(args: argparse.Namespace) -> int:
    """Ask and print the addresses, best first."""
    asker = http.Asker(str(args.entry), args.token)
    try:
        answer = asker.get(
            "/v1/where", messages.Addresses, {"session": args.session}
        )
    except http.AskError as error:
        return http.fail(error)
    if getattr(args, "json", False):
        output.print_json(answer)
        return 0
    rows = [[address, f"{answer.ttl_s:g}"] for address in answer.addresses]
    output.print_records(args, ("address", "ttl in s"), rows)
    return 0
