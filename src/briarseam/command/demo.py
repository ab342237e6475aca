"""``briarseam demo``: a walk through a deployment that is running.

``scripts/demo`` starts one with stand-ins and calls this.
"""

from __future__ import annotations

import pathlib
import sys
import typing

from briarseam.command import options
from briarseam.testing import demo

if typing.TYPE_CHECKING:
    import argparse

EXIT_FAILED = 1


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    parser.add_argument(
        "--entry",
        dest="entries",
        metavar="IP:PORT",
        type=options.address,
        action="append",
        required=True,
        help="an entry to use; may be repeated",
    )
    parser.add_argument(
        "--token", required=True, help="an organisation's bearer token"
    )
    parser.add_argument("--model", required=True, help="model to ask")
    parser.add_argument("--service", required=True, help="plain service")
    parser.add_argument(
        "--call", required=True, help="a call of it that may not repeat"
    )
    parser.add_argument(
        "--endpoint-service",
        dest="services",
        metavar="IP:PORT",
        type=options.address,
        action="append",
        required=True,
        help="a stand-in of the plain service, to count its runs; may be "
        "repeated",
    )
    parser.add_argument(
        "--run-id-file",
        metavar="FILE",
        type=pathlib.Path,
        required=True,
        help="where to write the id of the last answer's run",
    )


def execute(args: argparse.Namespace) -> int:
    """Walk through the deployment; print each step."""
    walked = demo.Demo(
        entries=tuple(str(entry) for entry in args.entries),
        token=args.token,
        model=args.model,
        service=args.service,
        call=args.call,
        services=tuple(str(service) for service in args.services),
    )
    try:
        run_id = demo.walk(walked, lambda line: print(line, flush=True))
    except demo.DemoError as error:
        print(f"briarseam: {error}", file=sys.stderr)
        return EXIT_FAILED
    args.run_id_file.write_text(run_id + "\n")
    return 0
