"""Options that several actions of ``briarseam config`` have."""

from __future__ import annotations

import typing

from briarseam.command import options

if typing.TYPE_CHECKING:
    import argparse

DEFAULT_WAIT = "30s"
DEFAULT_SETTLE = "10s"


def add_path(found: argparse.ArgumentParser) -> None:
    """Add the argument for one path."""
    found.add_argument(
        "path", metavar="PATH", help="such as models/certificate-draft"
    )


def add_prefix(found: argparse.ArgumentParser) -> None:
    """Add the argument for the beginning of paths."""
    found.add_argument(
        "prefix",
        metavar="PREFIX",
        nargs="?",
        default="",
        help="only paths that begin so, such as endpoints/; all unless given",
    )


def add_directory(found: argparse.ArgumentParser) -> None:
    """Add the argument for the declarations."""
    found.add_argument(
        "directory",
        metavar="DIR",
        help="folder of declarations, INI files with a section for each path",
    )


def add_fields(found: argparse.ArgumentParser) -> None:
    """Add the argument for the fields to set."""
    found.add_argument(
        "fields",
        metavar="FIELD=VALUE",
        nargs="*",
        help="a field to set; an empty value takes it back to its default",
    )


def add_author(found: argparse.ArgumentParser) -> None:
    """Add the option for the author's team."""
    found.add_argument(
        "--team",
        metavar="NAME",
        help="team that signs; needed when the settings name several",
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
        metavar="NAME",
        help="name for the history; the login name unless given",
    )
    found.add_argument(
        "--entry",
        type=options.address,
        metavar="IP:PORT",
        help="entry to ask how far a change has come; the settings' own "
        "unless given",
    )
    found.add_argument(
        "--timeout",
        metavar="DURATION",
        type=options.duration_s,
        default=DEFAULT_WAIT,
        help="how long to wait until an accepted change is in force "
        "everywhere, such as 500ms, 30s or 2m",
    )
    found.add_argument(
        "--settle",
        metavar="DURATION",
        type=options.duration_s,
        default=DEFAULT_SETTLE,
        help="how long to ask the log what became of a change whose "
        "answer was lost, in the same form",
    )
    found.add_argument(
        "--no-follow",
        action="store_true",
        help="do not wait until every live agent has it",
    )
