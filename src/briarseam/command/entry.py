"""``briarseam entry``: the caller-facing daemon of an instance."""

from __future__ import annotations

import typing

from briarseam.command import daemons
from briarseam.command import options
from briarseam.compose import entry as compose

if typing.TYPE_CHECKING:
    import argparse


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    options.add_settings(parser)


def execute(args: argparse.Namespace) -> int:
    """Run the entry until SIGTERM or SIGINT, then shut down gracefully."""
    return daemons.execute(args, "entry", compose.build_entry)
