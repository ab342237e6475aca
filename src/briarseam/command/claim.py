"""``briarseam claim``: what the log says about an idempotency key."""

from __future__ import annotations

import sys
import typing

from briarseam.backing import log as platform_log
from briarseam.claims import inspecting
from briarseam.claims import keys
from briarseam.claims import records
from briarseam.command import options
from briarseam.command import output

if typing.TYPE_CHECKING:
    import argparse

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
MS = 1000.0


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    parser.add_argument(
        "key", metavar="KEY", help="the Idempotency-Key, a UUIDv7"
    )
    parser.add_argument(
        "--organisation",
        metavar="NAME",
        required=True,
        help="whose key it is",
    )
    options.add_settings(parser)
    options.add_output(parser)


def execute(args: argparse.Namespace) -> int:
    """Read the log and print what it says about the key."""
    settings = options.load_settings(args)
    key = keys.parse(args.key)
    if key is None:
        print(f"briarseam: {args.key!r} is no UUIDv7", file=sys.stderr)
        return EXIT_BAD_INPUT
    log = platform_log.LogClient(
        str(settings.platform.log), settings.platform.log_timeout_ms / MS
    )
    window = keys.Window(int(settings.claims.window_s * MS))
    try:
        found = inspecting.inspect(log, window, args.organisation, key)
    except (
        platform_log.LogUnavailableError,
        records.UnknownVersionError,
    ) as error:
        print(f"briarseam: {error}", file=sys.stderr)
        return EXIT_FAILED
    if getattr(args, "json", False):
        output.print_json(found)
        return 0
    output.print_fields(args, rows(found))
    return 0


def rows(found: inspecting.KeyReport) -> list[list[str]]:
    """Return the lines of a report that say something."""
    told = {
        "key": found.key,
        "standing": found.standing,
        "made at": found.made_at,
        "claimed at": found.claimed_at,
        "run id": found.attempt,
        "instance": found.instance,
        "status": str(found.status or ""),
        "given up": ", ".join(found.given_up),
    }
    return [[what, value] for what, value in told.items() if value]
