"""Reading log files that operators name."""

from __future__ import annotations

import argparse
import sys
import typing

if typing.TYPE_CHECKING:
    import collections.abc


def add_logs(parser: argparse.ArgumentParser) -> None:
    """Add the log files; `documents` reads them."""
    parser.add_argument(
        "logs",
        nargs="*",
        metavar="FILE",
        help="logs of all instances; standard input unless given",
    )


def documents(paths: list[str]) -> collections.abc.Iterator[str]:
    """Yield what may be the JSON document of each line.

    What a collector of logs writes before the document is left out, as are
    lines without one.

    Raises
    ------
    SystemExit
        If a file can't be read.
    """
    if not paths:
        yield from filter(None, map(document, sys.stdin))
        return
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as log:
                yield from filter(None, map(document, log))
        except OSError as error:
            raise SystemExit(f"briarseam: {path}: {error.strerror}") from error


def document(line: str) -> str:
    """Return a line from its first brace on, empty if it has none."""
    start = line.find("{")
    return line[start:] if start >= 0 else ""
