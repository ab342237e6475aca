"""``briarseam agent``: the deciding daemon of an instance."""

from __future__ import annotations

import typing

from briarseam import logs
from briarseam.command import options
from briarseam.command import signals
from briarseam.compose import agent as compose
from briarseam.timeline import kinds
from briarseam.timeline import lines

if typing.TYPE_CHECKING:
    import argparse


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    options.add_settings(parser)


def execute(args: argparse.Namespace) -> int:
    """Run the agent until SIGTERM or SIGINT, then shut down gracefully."""
    settings = options.load_settings(args)
    stop = signals.watch()
    daemon = compose.build_agent(settings)
    logs.set_up(
        settings.logging,
        f"agent/{settings.instance.name}",
        note=lines.LineNotes(daemon.ring),
    )
    daemon.ring.note(kinds.Kind.STARTED)
    daemon.start()
    print(f"agent {daemon.server.address}", flush=True)
    stop.first.wait()
    daemon.ring.note(kinds.Kind.LEAVING)
    daemon.drain(stop.second.is_set)
    daemon.stop()
    return 0
