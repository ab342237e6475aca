"""Options that several actions of ``briarseam config`` have."""

from __future__ import annotations

import typing

from briarseam.command import options

if typing.TYPE_CHECKING:
    import argparse

DEFAULT_WAIT = "30s"
DEFAULT_SETTLE = "10s"


def add_author(found: argparse.ArgumentParser) -> None:
    """Add the option for the author's team."""
    found.add_argument(
        "--team", help="author; needed when the settings name several"
    )


def add_since(found: argparse.ArgumentParser) -> None:
    """Add the option for the offset that declarations are based on."""
    found.add_argument(
        "--since",
        type=int,
        metavar="OFFSET",
        help="a path set after OFFSET is a conflict, and nothing is applied",
    )


def add_publishing(found: argparse.ArgumentParser) -> None:
    """Add the options of actions that publish."""
    add_author(found)
    found.add_argument(
        "--operator",
        default=None,
        help="name for the history; the login name unless given",
    )
    found.add_argument(
        "--entry",
        type=options.address,
        metavar="IP:PORT",
        help="entry to ask how far a change has come",
    )
    found.add_argument(
        "--timeout",
        type=options.duration_s,
        default=DEFAULT_WAIT,
        help="how long to follow an accepted change (default: %(default)s)",
    )
    found.add_argument(
        "--settle",
        type=options.duration_s,
        default=DEFAULT_SETTLE,
        help="how long to find out what became of it (default: %(default)s)",
    )
    found.add_argument(
        "--no-follow",
        action="store_true",
        help="do not wait until every live agent has it",
    )
