"""Options that several subcommands have, and types for their values."""

from __future__ import annotations

import argparse
import typing

from briarseam import settings
from briarseam.settings import units

if typing.TYPE_CHECKING:
    import collections.abc

Value = typing.TypeVar("Value")


def add_settings(parser: argparse.ArgumentParser) -> None:
    """Add ``--settings`` and ``--set``; `load_settings` reads them."""
    parser.add_argument(
        "--settings",
        metavar="FILE",
        required=True,
        help="settings of this instance, an INI file",
    )
    parser.add_argument(
        "--set",
        dest="overrides",
        metavar="SECTION.KEY=VALUE",
        type=overriding,
        action="append",
        default=argparse.SUPPRESS,
        help="a value that goes before the file's; may be repeated",
    )


def load_settings(args: argparse.Namespace) -> settings.Settings:
    """Return the settings that the options name.

    Raises
    ------
    SettingsError
        If the file or an overriding value is bad.
    """
    return settings.load(args.settings, getattr(args, "overrides", ()))


def add_output(parser: argparse.ArgumentParser) -> None:
    """Add ``--json`` and ``--narrow``; `briarseam.command.output` obeys."""
    form = parser.add_mutually_exclusive_group()
    form.add_argument(
        "--json",
        action="store_true",
        default=argparse.SUPPRESS,
        help="print JSON for programs",
    )
    form.add_argument(
        "--narrow",
        action="store_true",
        default=argparse.SUPPRESS,
        help="print at most 40 columns; by itself on a terminal of fewer "
        "than 60",
    )


def overriding(text: str) -> settings.ValueOverride:
    """Return the override that ``section.key=value`` names."""
    place, equals, value = text.partition("=")
    section, dot, key = place.strip().rpartition(".")
    if not (equals and dot):
        raise argparse.ArgumentTypeError(
            f"expected SECTION.KEY=VALUE, got {text!r}"
        )
    return settings.ValueOverride(section, key, value.strip())


def duration_ms(text: str) -> int:
    """Return an option's duration in milliseconds: ``250ms``, ``3s``."""
    return converted(units.duration_ms, text)


def duration_s(text: str) -> float:
    """Return an option's duration in seconds: ``3s``, ``250ms``, ``2m``."""
    return converted(units.duration_s, text)


def size_bytes(text: str) -> int:
    """Return an option's size in bytes: ``64KiB``."""
    return converted(units.size_bytes, text)


def address(text: str) -> settings.Address:
    """Return an option's address: an IP number and a port."""
    return converted(settings.parse_address, text)


def converted(
    convert: collections.abc.Callable[[str], Value], text: str
) -> Value:
    """Return a value, its error in the form that argparse prints."""
    try:
        return convert(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f"expected {error}, got {text!r}"
        ) from error
