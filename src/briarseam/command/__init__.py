"""The subcommands; each module registers its own options.

A command module offers ``add_options(parser)`` and ``execute(args) -> int``.
"""

from __future__ import annotations

import argparse
import dataclasses
import importlib
import sys
import typing

import briarseam
from briarseam import loading
from briarseam.command import help_format

if typing.TYPE_CHECKING:
    import collections.abc


@dataclasses.dataclass(frozen=True)
class Command:
    """One subcommand.

    Attributes
    ----------
    name
        Word on the command line.
    module
        Module that registers its options and executes it.
    summary
        What it does, for the list of subcommands.
    """

    name: str
    module: str
    summary: str


# Modules are named and not imported here: an agent must not pay the memory
# of the entry's HTTP server, nor a lookup the time to load the bench.
COMMANDS = (
    Command(
        "bench",
        "briarseam.command.bench",
        "run an experiment on a running deployment",
    ),
    Command(
        "agent",
        "briarseam.command.agent",
        "run the deciding daemon of an instance",
    ),
    Command(
        "condemned",
        "briarseam.command.condemned",
        "show and lift prompts refused for crashing endpoints",
    ),
    Command(
        "delays",
        "briarseam.command.delays",
        "show where the time of requests went, from logs",
    ),
    Command(
        "demo",
        "briarseam.command.demo",
        "walk through a running deployment",
    ),
    Command(
        "entry",
        "briarseam.command.entry",
        "run the caller-facing daemon of an instance",
    ),
    Command(
        "explain",
        "briarseam.command.explain",
        "show what the logs of all instances tell about a request",
    ),
    Command(
        "serve",
        "briarseam.command.serve",
        "run the one process of an instance on the users' platform",
    ),
    Command(
        "status",
        "briarseam.command.status",
        "show the agents of a cell and the rollouts",
    ),
    Command(
        "stand-in",
        "briarseam.command.stand_in",
        "run a small stand-in for an outside system",
    ),
    Command(
        "where",
        "briarseam.command.where",
        "show which entries a session should use",
    ),
    Command(
        "config",
        "briarseam.command.config",
        "show and change the configuration",
    ),
    Command(
        "claim",
        "briarseam.command.claim",
        "show what the log says about an idempotency key",
    ),
    Command(
        "timeline",
        "briarseam.command.timeline",
        "show what happened over all processes, in causal order",
    ),
    Command(
        "settings",
        "briarseam.command.settings",
        "check a settings file, show each value and its source",
    ),
)


class Module(typing.Protocol):
    """What every command module offers."""

    def add_options(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the subcommand to its parser."""

    def execute(self, args: argparse.Namespace) -> int:
        """Run the subcommand and return its exit status."""


def execute(arguments: collections.abc.Sequence[str]) -> int:
    """Run the subcommand that the arguments name.

    Raises
    ------
    SystemExit
        If the arguments are malformed (status 2) or ask for help (0).
    """
    chosen = find(arguments)
    parser = build_parser(chosen)
    args = parser.parse_args(arguments)
    if chosen is None:
        parser.error("name a subcommand")
    return load(chosen).execute(args)


def find(arguments: collections.abc.Sequence[str]) -> Command | None:
    """Return the subcommand that the first argument names."""
    for command in COMMANDS:
        if arguments and arguments[0] == command.name:
            return command
    return None


def load(command: Command) -> Module:
    """Return the module of a subcommand."""
    module = sys.modules.get(command.module)
    if module is None:
        with loading.without_collections():
            module = importlib.import_module(command.module)
    return typing.cast("Module", module)


def build_parser(chosen: Command | None) -> argparse.ArgumentParser:
    """Return the parser, with the options of only the chosen subcommand."""
    parser = argparse.ArgumentParser(
        prog="briarseam",
        description=briarseam.__doc__,
        formatter_class=help_format.HelpFormatter,
        allow_abbrev=False,
    )
    subparsers = parser.add_subparsers(metavar="SUBCOMMAND")
    # Once one is chosen nothing tells of the others.  All parsers take 1.2 ms
    # of processor time at each start, one 0.3 ms (least of 40 timings).
    for command in (chosen,) if chosen else COMMANDS:
        subparser = subparsers.add_parser(
            command.name,
            help=command.summary,
            description=sentence(command.summary),
            formatter_class=help_format.HelpFormatter,
            allow_abbrev=False,
        )
        if command is chosen:
            load(command).add_options(subparser)
    return parser


def sentence(summary: str) -> str:
    """Return a summary as a sentence."""
    return f"{summary[0].upper()}{summary[1:]}."
