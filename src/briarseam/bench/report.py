"""Results as a file, a table and a plot."""

from __future__ import annotations

import dataclasses
import datetime
import os
import pathlib
import platform
import typing

import msgspec

from briarseam.bench import links
from briarseam.bench import measures
from briarseam.bench import processes

if typing.TYPE_CHECKING:
    from briarseam.bench import experiment

PLOT_WIDTH_IN = 10
PLOT_HEIGHT_IN = 3.2
WINDOW_S = 2.0
MAX_POINTS = 1500


@dataclasses.dataclass(frozen=True)
class ArmResult:
    """One arm's results."""

    name: str
    summary: measures.Summary
    late_s: float
    usages: tuple[processes.Usage, ...]
    store_links: tuple[links.Link, ...]
    points: tuple[measures.Point, ...]


@dataclasses.dataclass(frozen=True)
class Result:
    """One experiment's results."""

    experiment: experiment.Experiment
    command: str
    made_at: str
    machine: str
    arms: tuple[ArmResult, ...]


def relative(file: str) -> str:
    """Return a file's path from the working folder, if it lies below."""
    path = pathlib.Path(file).resolve()
    folder = pathlib.Path.cwd().resolve()
    if path.is_relative_to(folder):
        return str(path.relative_to(folder))
    return path.name


def describe_machine() -> str:
    """Return kind, cores and Python of this machine."""
    return (
        f"{platform.machine()}, {os.cpu_count()} cores,"
        f" Python {platform.python_version()}"
    )


def now_text() -> str:
    """Return the present time, UTC, to the second."""
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec="seconds")


def write(result: Result, folder: pathlib.Path) -> pathlib.Path:
    """Write the results as JSON; return the file."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.experiment.name}.json"
    fewer = tuple(
        dataclasses.replace(arm, points=thin(arm.points))
        for arm in result.arms
    )
    encoded = msgspec.json.encode(dataclasses.replace(result, arms=fewer))
    path.write_bytes(encoded + b"\n")
    return path


def thin(points: tuple[measures.Point, ...]) -> tuple[measures.Point, ...]:
    """Return at most ``MAX_POINTS``, evenly spread; failures all stay."""
    step = -(-len(points) // MAX_POINTS) or 1
    return tuple(
        point
        for number, point in enumerate(points)
        if number % step == 0 or point.outcome != "whole"
    )


def rows(result: Result) -> list[list[str]]:
    """Return the table: a row per figure, a column per arm."""
    figures: dict[str, typing.Callable[[measures.Summary], str]] = {
        "whole of sent": lambda one: f"{one.whole}/{one.sent}",
        "first token p50 ms": lambda one: f"{one.first_token_ms.p50:.0f}",
        "first token p95 ms": lambda one: f"{one.first_token_ms.p95:.0f}",
        "first token p99 ms": lambda one: f"{one.first_token_ms.p99:.0f}",
        "returning p50 ms": (
            lambda one: f"{one.returning_first_token_ms.p50:.0f}"
        ),
        "returning p95 ms": (
            lambda one: f"{one.returning_first_token_ms.p95:.0f}"
        ),
        "gap p95 ms": lambda one: f"{one.gap_ms.p95:.1f}",
        "recomputed": lambda one: f"{one.recomputed_share:.3f}",
        "recomputed, returning": (
            lambda one: f"{one.returning_recomputed_share:.3f}"
        ),
        "never sent before": lambda one: f"{one.unavoidable_share:.3f}",
        "the same, whole pieces": (
            lambda one: f"{one.unavoidable_pieces_share:.3f}"
        ),
        "the same, returning": (
            lambda one: f"{one.returning_unavoidable_pieces_share:.3f}"
        ),
        "cold returns": lambda one: str(one.cold_returns),
        "tokens a second": lambda one: f"{one.tokens_per_s:.0f}",
        "in all p95 ms": (lambda one: f"{one.first_token_in_all_ms.p95:.0f}"),
        "most sent in a second": lambda one: str(
            max(one.tries_by_second, default=0)
        ),
        "refused p95 ms": lambda one: f"{one.refused_ms.p95:.0f}",
        "refusals": lambda one: refusal_text(one.refusals),
    }
    table = [
        [name, *[show(arm.summary) for arm in result.arms]]
        for name, show in figures.items()
    ]
    table += organisation_rows(result)
    usages: dict[str, typing.Callable[[ArmResult], str]] = {
        "links MB a second": link_text,
        "agents' core share": lambda arm: share_text(arm, "agent"),
        "agents' RSS MB": lambda arm: rss_text(arm, "agent"),
        "entries' core share": lambda arm: share_text(arm, "entry"),
        "entries' RSS MB": lambda arm: rss_text(arm, "entry"),
        "sender late s": lambda arm: f"{arm.late_s:.2f}",
    }
    table += [
        [name, *[show_arm(arm) for arm in result.arms]]
        for name, show_arm in usages.items()
    ]
    return table


def organisation_rows(result: Result) -> list[list[str]]:
    """Return each organisation's 95th percentile of the first token."""
    by_arm = [arm.summary.by_organisation_p95_ms for arm in result.arms]
    names = sorted({name for one in by_arm for name in one})
    return [
        [f"p95 ms {name}", *[f"{one.get(name, 0.0):.0f}" for one in by_arm]]
        for name in names
    ]


def refusal_text(refusals: dict[str, int]) -> str:
    """Return refusals by reason."""
    return ", ".join(f"{name} {n}" for name, n in refusals.items()) or "0"


def link_text(arm: ArmResult) -> str:
    """Return what went over each link."""
    return " ".join(
        f"{link.bytes_per_s / 1e6:.2f}" for link in arm.store_links
    )


def of_role(arm: ArmResult, role: str) -> list[processes.Usage]:
    """Return the usages of one kind of process."""
    return [one for one in arm.usages if one.name.startswith(role)]


def share_text(arm: ArmResult, role: str) -> str:
    """Return processor shares."""
    return " ".join(f"{one.cpu_share:.3f}" for one in of_role(arm, role))


def rss_text(arm: ArmResult, role: str) -> str:
    """Return resident memory."""
    return " ".join(f"{one.rss_mb:.0f}" for one in of_role(arm, role))


def plot(result: Result, folder: pathlib.Path) -> pathlib.Path:
    """Draw first tokens and refusals over time, an arm below the other."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    count = len(result.arms)
    figure, axes = pyplot.subplots(
        count,
        1,
        sharex=True,
        sharey=True,
        squeeze=False,
        figsize=(PLOT_WIDTH_IN, PLOT_HEIGHT_IN * count),
    )
    for axis, arm in zip(axes[:, 0], result.arms, strict=True):
        draw_arm(axis, arm, result.experiment.faults)
    axes[-1, 0].set_xlabel("seconds from the start of the arm")
    figure.suptitle(f"{result.experiment.name}: first token of each request")
    figure.tight_layout()
    path = folder / f"{result.experiment.name}.png"
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path


def draw_arm(
    axis: typing.Any,
    arm: ArmResult,
    faults: typing.Iterable[experiment.Fault],
) -> None:
    """Draw one arm."""
    whole = [point for point in arm.points if point.outcome == "whole"]
    failed = [point for point in arm.points if point.outcome != "whole"]
    axis.plot(
        [point.at_s for point in whole],
        [max(point.first_token_ms, 1) for point in whole],
        ".",
        markersize=4,
        label="whole answers",
    )
    if failed:
        axis.plot(
            [point.at_s for point in failed],
            [1.5] * len(failed),
            "rx",
            markersize=4,
            label="refused or cut",
        )
    for fault in faults:
        axis.axvspan(
            fault.at_s, fault.at_s + fault.for_s, alpha=0.15, color="grey"
        )
    tries = axis.twinx()
    tries.step(
        range(len(arm.summary.tries_by_second)),
        arm.summary.tries_by_second,
        where="post",
        color="tab:green",
        alpha=0.6,
    )
    tries.set_ylabel("requests sent a second", color="tab:green")
    tries.set_ylim(bottom=0)
    axis.set_yscale("log")
    axis.set_ylabel("first token, ms")
    axis.set_title(
        f"{arm.name}: p95 {arm.summary.first_token_ms.p95:.0f} ms,"
        f" recomputed {arm.summary.recomputed_share:.2f}"
    )
    axis.legend(loc="upper right")
