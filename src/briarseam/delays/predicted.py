"""Predicted against actual times to first events, by group."""

from __future__ import annotations

import collections
import dataclasses
import math
import statistics
import typing

from briarseam.delays import summary

if typing.TYPE_CHECKING:
    from briarseam.delays import sends


@dataclasses.dataclass(frozen=True)
class Predicted:
    """Statistics of the sends of one group that had a prediction.

    Attributes
    ----------
    name
        As in :class:`briarseam.delays.summary.Group`.
    sends
        Number of sends with a prediction.
    predicted_p50_ms, first_p50_ms
        Medians of the predicted and the actual time to the first event, over
        sends that had one.
    ratio_p50, ratio_p95
        Median and 95th percentile of the ratio of actual to predicted time,
        over the same sends.
    endpoint_ratio
        Mean ratio that was assumed for the endpoint.
    expected_late
        Sum of the expected late answers.
    """

    name: str
    sends: int
    predicted_p50_ms: float | None
    first_p50_ms: float | None
    ratio_p50: float | None
    ratio_p95: float | None
    endpoint_ratio: float
    expected_late: float


def groups(
    joined: sends.Joined, by: summary.By, window_s: float
) -> list[Predicted]:
    """Return statistics of each group, in order of time or name.

    Parameters
    ----------
    joined
        Sends and refusals.
    by
        Property by which sends are grouped.
    window_s
        Length of a time window, in seconds.
    """
    naming = summary.Naming(by, summary.first_time_s(joined), window_s)
    by_name: dict[str, list[sends.Send]] = collections.defaultdict(list)
    for send in joined.sends:
        if send.sent.predicted_first_ms is not None:
            by_name[naming.of_send(send)].append(send)
    return [
        summarize(name, by_name[name])
        for name in sorted(by_name, key=summary.sort_key)
    ]


def summarize(name: str, members: list[sends.Send]) -> Predicted:
    """Return the statistics of a group, which is not empty."""
    times = [
        (send.sent.predicted_first_ms or 0, send.first_ms)
        for send in members
        if send.first_ms is not None
    ]
    # A prediction of less than half a millisecond is logged as 0.
    ratios = [actual / max(predicted, 1) for predicted, actual in times]
    return Predicted(
        name=name,
        sends=len(members),
        predicted_p50_ms=summary.quantile(
            [one[0] for one in times], summary.MEDIAN
        ),
        first_p50_ms=summary.quantile(
            [one[1] for one in times], summary.MEDIAN
        ),
        ratio_p50=summary.quantile(ratios, summary.MEDIAN),
        ratio_p95=summary.quantile(ratios, summary.TAIL),
        endpoint_ratio=statistics.fmean(
            send.sent.endpoint_ratio for send in members
        ),
        expected_late=math.fsum(send.sent.expected_late for send in members),
    )
