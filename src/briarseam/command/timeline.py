"""``briarseam timeline``: what happened, over all processes."""

from __future__ import annotations

import dataclasses
import pathlib
import sys
import typing

from briarseam.command import http
from briarseam.command import options
from briarseam.command import output
from briarseam.timeline import messages
from briarseam.timeline import render_html
from briarseam.timeline import render_text

if typing.TYPE_CHECKING:
    import argparse

PATH = "/v1/timeline"
# The asked agent waits for silent processes twice, a few seconds each.
TIMEOUT_S = 10.0
DEFAULT_LIMIT = 200
EXIT_FAILED = 1
EXIT_INCOMPLETE = 4


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    http.add_operator(parser)
    parser.add_argument(
        "--request",
        metavar="ID",
        default="",
        help="only this request: its X-Request-Id, answer id, run or "
        "idempotency key",
    )
    parser.add_argument(
        "--path",
        metavar="PATH",
        default="",
        help="only this configuration path and those below it",
    )
    parser.add_argument(
        "--endpoint", metavar="NAME", default="", help="only this endpoint"
    )
    parser.add_argument(
        "--limit",
        metavar="N",
        type=int,
        default=DEFAULT_LIMIT,
        help="show at most the newest N events",
    )
    parser.add_argument(
        "--html",
        metavar="FILE",
        help="write a page with a drawing to this file",
    )
    options.add_output(parser)


def execute(args: argparse.Namespace) -> int:
    """Ask an entry and show the events.

    Returns
    -------
    int
        0 when all processes answered, 4 when some did not.
    """
    try:
        asker = http.operator_asker(args)
        asker = dataclasses.replace(asker, timeout_s=TIMEOUT_S)
        found = asker.get(PATH, messages.Events, question(args))
    except http.AskError as error:
        return http.fail(error)
    if args.html and not write_page(args, found):
        return EXIT_FAILED
    if getattr(args, "json", False):
        output.print_json(found)
    elif not args.html:
        print(render_text.render(found, output.is_narrow(args)))
    silent = any(source.error for source in found.sources)
    return EXIT_INCOMPLETE if silent else 0


def question(args: argparse.Namespace) -> dict[str, str]:
    """Return the fields of the request."""
    fields = {
        "request": args.request,
        "path": args.path,
        "endpoint": args.endpoint,
        "limit": str(max(1, args.limit)),
    }
    return {name: value for name, value in fields.items() if value}


def write_page(args: argparse.Namespace, found: messages.Events) -> bool:
    """Write the page; tell whether that was possible."""
    page = render_html.render(found, title(args))
    try:
        pathlib.Path(args.html).write_text(page, encoding="utf-8")
    except OSError as error:
        print(f"briarseam: cannot write the page: {error}", file=sys.stderr)
        return False
    if not getattr(args, "json", False):
        print(f"{len(found.events)} events written to {args.html}")
    return True


def title(args: argparse.Namespace) -> str:
    """Return what was asked for, as a heading."""
    asked = [
        f"{name} {value}"
        for name, value in question(args).items()
        if name != "limit"
    ]
    return ", ".join(asked) or "all events"
