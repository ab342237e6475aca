"""``briarseam settings check FILE``: every value and its source."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import settings
from briarseam.command import help_format
from briarseam.command import options
from briarseam.command import output

if typing.TYPE_CHECKING:
    import argparse

HEADERS = ("setting", "value", "source")


@dataclasses.dataclass(frozen=True)
class Row:
    """One value as printed in JSON.

    Attributes
    ----------
    section
        Section, without brackets.
    key
        Key in the section; its ending tells the unit.
    value
        The value in force; secrets are hidden.
    source
        ``file:line`` or ``default``.
    """

    section: str
    key: str
    value: str
    source: str


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the subcommand's actions."""
    actions = parser.add_subparsers(metavar="ACTION", required=True)
    check = actions.add_parser(
        "check",
        help="check a file and print every value with its source",
        description="Check a file and print every value with its source.",
        formatter_class=help_format.HelpFormatter,
        allow_abbrev=False,
    )
    check.add_argument("file", metavar="FILE", help="settings, an INI file")
    options.add_output(check)


def execute(args: argparse.Namespace) -> int:
    """Check a settings file and print what it says."""
    explained = settings.load(args.file).explain()
    rows = [
        Row(item.section, item.key, item.value, str(item.source))
        for item in explained
    ]
    if getattr(args, "json", False):
        output.print_json(rows)
        return 0
    output.print_records(
        args,
        HEADERS,
        [(f"{row.section}.{row.key}", row.value, row.source) for row in rows],
    )
    return 0
