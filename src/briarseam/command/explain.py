"""``briarseam explain``: what the logs tell about one request."""

from __future__ import annotations

import dataclasses
import json
import sys
import typing

from briarseam.command import log_files
from briarseam.command import options
from briarseam.command import output

if typing.TYPE_CHECKING:
    import argparse
    import collections.abc

HEADERS = ("time", "instance", "event", "details")
# What stands in a column of its own, and what tells nothing here.
OWN_COLUMNS = frozenset({"timestamp", "process", "event", "request", "level"})
# Changes of belief that stand before a request's first line on its instance
# are shown with it: what it was decided by.
BELIEF_EVENTS = frozenset(
    {
        "configuration_in_force",
        "store_lost",
        "store_regained",
        "weights_in_place",
        "started",
        "stopping",
    }
)
BELIEFS_SHOWN = 3


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One structured line of a log.

    Attributes
    ----------
    time
        As written, ISO 8601.
    instance
        Who wrote it.
    event
        What happened.
    request
        The request that it is about; empty for a change of belief.
    details
        Everything else, as ``name=value``.
    """

    time: str
    instance: str
    event: str
    request: str
    details: str


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    parser.add_argument("request", help="id of the request")
    log_files.add_logs(parser)
    options.add_output(parser)


def execute(args: argparse.Namespace) -> int:
    """Print the lines about one request, of all instances, in order."""
    lines = story(args.request, read_lines(args.logs))
    if not lines:
        print(f"no line about request {args.request}", file=sys.stderr)
        return 1
    if getattr(args, "json", False):
        output.print_json(lines)
        return 0
    rows = [
        (line.time, line.instance, line.event, line.details) for line in lines
    ]
    output.print_records(args, HEADERS, rows)
    return 0


def read_lines(paths: list[str]) -> collections.abc.Iterator[LogLine]:
    """Yield the structured lines of logs; others are passed over."""
    yield from filter(None, map(parse, log_files.documents(paths)))


def parse(text: str) -> LogLine | None:
    """Return a line of a log, ``None`` if it is no structured one."""
    try:
        found = json.loads(text)
    except json.JSONDecodeError:
        return None
    if not isinstance(found, dict) or "event" not in found:
        return None
    details = [
        f"{name}={value}"
        for name, value in found.items()
        if name not in OWN_COLUMNS
    ]
    return LogLine(
        time=str(found.get("timestamp", "")),
        instance=str(found.get("process", "")),
        event=str(found["event"]),
        request=str(found.get("request", "")),
        details=" ".join(details),
    )


def story(
    request: str, lines: collections.abc.Iterable[LogLine]
) -> list[LogLine]:
    """Return the lines about a request, and what was believed before."""
    beliefs: dict[str, list[LogLine]] = {}
    found: list[LogLine] = []
    told: set[str] = set()
    for line in sorted(lines, key=lambda line: line.time):
        if line.request == request:
            if line.instance not in told:
                told.add(line.instance)
                found.extend(beliefs.get(line.instance, []))
            found.append(line)
        elif line.event in BELIEF_EVENTS:
            recent = beliefs.setdefault(line.instance, [])
            recent.append(line)
            del recent[:-BELIEFS_SHOWN]
    return sorted(found, key=lambda line: line.time)
