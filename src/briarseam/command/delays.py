"""``briarseam delays``: where the time of requests went."""

from __future__ import annotations

import argparse
import sys
import typing

from briarseam.command import log_files
from briarseam.command import options
from briarseam.command import output
from briarseam.delays import lines
from briarseam.delays import predicted
from briarseam.delays import sends
from briarseam.delays import sizes
from briarseam.delays import summary

GROUP_HEADERS = (
    "sends",
    "unanswered",
    "first ms p50",
    "p95",
    "fetch due p50",
    "overdue",
    "held",
    "fetched",
    "read",
    "unseen sends",
    "unseen requests",
    "unseen tokens",
    "refused",
)
REASON_HEADERS = ("reason", "route", "refused", "from s", "to s", "example")
SIZE_HEADERS = (
    "route",
    "size",
    "from tokens",
    "to tokens",
    "requests",
    "answered",
    "refused",
)
PREDICTED_HEADERS = (
    "sends",
    "predicted ms p50",
    "first ms p50",
    "ratio p50",
    "p95",
    "endpoint ratio",
    "expected late",
)
REASON = "reason"
SIZE = "size"
# Short enough to see a fault of some seconds, long enough for some sends.
WINDOW_S = 2.0
NOTHING = "-"
Record = typing.TypeVar("Record")


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    log_files.add_logs(parser)
    parser.add_argument(
        "--by",
        choices=[*(one.value for one in summary.By), REASON, SIZE],
        default=summary.By.ROUTE.value,
        metavar="WHAT",
        help="what a row tells of: route, second, endpoint, reason (of "
        "refusals) or size (of prompts)",
    )
    parser.add_argument(
        "--window",
        type=seconds,
        default=WINDOW_S,
        metavar="SECONDS",
        help="length of a row by second",
    )
    parser.add_argument(
        "--predicted",
        action="store_true",
        help="compare predicted and actual times to first events; by route, "
        "second or endpoint",
    )
    options.add_output(parser)


def seconds(text: str) -> float:
    """Return a time in seconds, more than 0."""
    value = float(text)
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError("expected seconds, more than 0")
    return value


def execute(args: argparse.Namespace) -> int:
    """Print the delays of all sends, or the refusals."""
    read = lines.read(log_files.documents(args.logs))
    if read.undecodable:
        print(
            f"{read.undecodable} lines about requests could not be read",
            file=sys.stderr,
        )
    if not read.lines:
        print("no line about a request", file=sys.stderr)
        return 1
    if args.predicted and args.by in (REASON, SIZE):
        print(f"no predictions by {args.by}", file=sys.stderr)
        return 2
    if args.by == SIZE:
        classes = sizes.size_classes(read.lines)
        print_table(args, SIZE_HEADERS, classes, size_row)
        return 0
    joined = sends.join(read.lines)
    if args.by == REASON:
        reasons = summary.reasons(joined)
        print_table(args, REASON_HEADERS, reasons, reason_row)
        return 0
    by = summary.By(args.by)
    if args.predicted:
        predictions = predicted.groups(joined, by, args.window)
        headers = (by.value, *PREDICTED_HEADERS)
        print_table(args, headers, predictions, predicted_row)
        return 0
    groups = summary.groups(joined, by, args.window)
    print_table(args, (by.value, *GROUP_HEADERS), groups, group_row)
    return 0


def print_table(
    args: argparse.Namespace,
    headers: tuple[str, ...],
    records: list[Record],
    row_of: typing.Callable[[Record], tuple[str, ...]],
) -> None:
    """Print a row for each record."""
    if getattr(args, "json", False):
        output.print_json(records)
        return
    output.print_records(args, headers, [row_of(one) for one in records])


def group_row(group: summary.Group) -> tuple[str, ...]:
    """Return the cells of a group."""
    return (
        group.name,
        str(group.sends),
        str(group.unanswered),
        whole(group.first_p50_ms),
        whole(group.first_p95_ms),
        whole(group.fetch_due_p50_ms),
        str(group.fetch_overdue),
        whole(group.held),
        whole(group.fetched),
        whole(group.read),
        str(group.unseen_sends),
        tenths(group.unseen_requests),
        whole(group.unseen_tokens),
        str(group.refused),
    )


def predicted_row(group: predicted.Predicted) -> tuple[str, ...]:
    """Return the cells of a group's predictions."""
    return (
        group.name,
        str(group.sends),
        whole(group.predicted_p50_ms),
        whole(group.first_p50_ms),
        hundredths(group.ratio_p50),
        hundredths(group.ratio_p95),
        hundredths(group.endpoint_ratio),
        hundredths(group.expected_late),
    )


def reason_row(reason: summary.Reason) -> tuple[str, ...]:
    """Return the cells of the refusals for one reason."""
    return (
        reason.reason,
        reason.route,
        str(reason.refused),
        tenths(reason.first_s),
        tenths(reason.last_s),
        reason.example,
    )


def size_row(size: sizes.SizeClass) -> tuple[str, ...]:
    """Return the cells of a part of a kind's sizes."""
    return (
        size.route,
        size.size,
        str(size.least_tokens),
        str(size.most_tokens),
        str(size.requests),
        str(size.answered),
        str(size.refused),
    )


def whole(value: float | None) -> str:
    """Return a value without its fraction, a dash for none."""
    return NOTHING if value is None else f"{value:.0f}"


def tenths(value: float | None) -> str:
    """Return a value with a digit after the point, a dash for none."""
    return NOTHING if value is None else f"{value:.1f}"


def hundredths(value: float | None) -> str:
    """Return a value with two digits after the point, a dash for none."""
    return NOTHING if value is None else f"{value:.2f}"
