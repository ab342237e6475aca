"""Printing results: JSON, a wide table, or at most 40 columns."""

from __future__ import annotations

import shutil
import typing

import msgspec

from briarseam import wrapping

if typing.TYPE_CHECKING:
    import argparse
    import collections.abc

NARROW_BELOW_COLUMNS = 60
GAP = "  "
FIELD_HEADERS = ("what", "value")


def is_narrow(args: argparse.Namespace) -> bool:
    """Return whether output is to stay within 40 columns."""
    if getattr(args, "narrow", False):
        return True
    return shutil.get_terminal_size().columns < NARROW_BELOW_COLUMNS


def print_json(value: object) -> None:
    """Print a value of data classes as indented JSON.

    Types that JSON lacks, as addresses, are printed as text.
    """
    encoded = msgspec.json.encode(value, enc_hook=str)
    print(msgspec.json.format(encoded, indent=2).decode())


def print_records(
    args: argparse.Namespace,
    headers: collections.abc.Sequence[str],
    rows: collections.abc.Sequence[collections.abc.Sequence[str]],
) -> None:
    """Print rows as a table, or narrow as one short block for each.

    Parameters
    ----------
    args
        Parsed options, for ``--narrow``.
    headers
        Name of each column.
    rows
        Cells as text, as many in each row as there are headers.
    """
    if is_narrow(args):
        lines = narrow_lines(headers, rows)
    else:
        lines = table_lines(headers, rows)
    for line in lines:
        print(line)


def print_fields(
    args: argparse.Namespace,
    fields: collections.abc.Sequence[collections.abc.Sequence[str]],
) -> None:
    """Print names and values of one thing, narrow with a line for each.

    Parameters
    ----------
    args
        Parsed options, for ``--narrow``.
    fields
        Name and value of each.
    """
    if not is_narrow(args):
        print_records(args, FIELD_HEADERS, fields)
        return
    for name, value in fields:
        for line in wrapping.wrapped(f"{name}: {value}", ""):
            print(line)


def table_lines(
    headers: collections.abc.Sequence[str],
    rows: collections.abc.Sequence[collections.abc.Sequence[str]],
) -> list[str]:
    """Return a table with a heading line, columns aligned."""
    table = [list(headers), *[list(row) for row in rows]]
    widths = [max(map(len, cells)) for cells in zip(*table, strict=True)]
    return [
        GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    ]


def narrow_lines(
    headers: collections.abc.Sequence[str],
    rows: collections.abc.Sequence[collections.abc.Sequence[str]],
) -> list[str]:
    """Return a block for each row: its first cell, then the others."""
    lines: list[str] = []
    for first, *rest in rows:
        lines.extend(wrapping.wrapped(first, ""))
        for header, cell in zip(headers[1:], rest, strict=True):
            lines.extend(
                wrapping.wrapped(f"{header}: {cell}", wrapping.INDENT)
            )
    return lines
