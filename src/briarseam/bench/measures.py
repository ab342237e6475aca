"""What the callers of one arm measured."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
import typing

from hdrh import histogram

if typing.TYPE_CHECKING:
    from briarseam.bench import workload
    from briarseam.testing import caller

MAX_US = 600_000_000
DIGITS = 3
US = 1_000_000


@dataclasses.dataclass(frozen=True)
class Latency:
    """A latency's distribution, in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float
    max: float


@dataclasses.dataclass(frozen=True)
class Summary:
    """The figures of one arm, warm-up left out.

    Attributes
    ----------
    sent, whole
        Requests sent, and those with whole answers.
    first_token_ms
        From sending to the first token, of whole answers.
    first_token_in_all_ms
        The same from a caller's first try, refusals and waits included.
    returning_first_token_ms
        The same of sessions that were there before.
    gap_ms
        Between tokens.
    prompt_tokens, reused_tokens
        Of whole answers.
    recomputed_share
        Part of prompt tokens that were computed.
    returning_recomputed_share
        The same of sessions that were there before.
    unavoidable_share
        Part of prompt tokens that had never been sent before, so that no
        policy can reuse them.
    unavoidable_pieces_share
        The same when only whole pieces can be kept.
    returning_unavoidable_pieces_share
        The same of sessions that were there before.
    cold_returns
        Requests of sessions that were there before, all of whose prompt
        was computed although a piece of it or more had been sent before.
    tokens_per_s
        Tokens received a second.
    refusals
        Count by reason and verdict.
    refused_ms
        From sending to a refusal.
    tries_by_second
        Requests that went out in each second, sent again or not.
    by_organisation_p95_ms
        95th percentile of the first token by organisation.
    """

    sent: int
    whole: int
    first_token_ms: Latency
    first_token_in_all_ms: Latency
    returning_first_token_ms: Latency
    gap_ms: Latency
    prompt_tokens: int
    reused_tokens: int
    recomputed_share: float
    returning_recomputed_share: float
    unavoidable_share: float
    unavoidable_pieces_share: float
    returning_unavoidable_pieces_share: float
    cold_returns: int
    tokens_per_s: float
    refusals: dict[str, int]
    refused_ms: Latency
    tries_by_second: list[int]
    by_organisation_p95_ms: dict[str, float]


@dataclasses.dataclass(frozen=True)
class Point:
    """One request, for the time line of the plot.

    Attributes
    ----------
    at_s
        When it was sent, from the arm's start.
    first_token_ms
        -1 without one.
    outcome
        ``whole`` or the refusal's reason.
    """

    at_s: float
    first_token_ms: float
    outcome: str


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return histogram.HdrHistogram(1, MAX_US, DIGITS)


def summarize(values: histogram.HdrHistogram) -> Latency:
    """Return a histogram's distribution in milliseconds."""
    count = values.get_total_count()
    if not count:
        return Latency(0, 0.0, 0.0, 0.0, 0.0)
    return Latency(
        count=count,
        p50=values.get_value_at_percentile(50) / 1000,
        p95=values.get_value_at_percentile(95) / 1000,
        p99=values.get_value_at_percentile(99) / 1000,
        max=values.get_max_value() / 1000,
    )


class Recorder:
    """Takes in answers as they end; thread-safe."""

    def __init__(self, warmup_s: float, duration_s: float) -> None:
        self.warmup_s = warmup_s
        self.measured_s = duration_s - warmup_s
        self.lock = threading.Lock()
        self.first = new_histogram()
        self.returning_first = new_histogram()
        self.gaps = new_histogram()
        self.by_organisation: dict[str, histogram.HdrHistogram] = {}
        self.refusals: collections.Counter[str] = collections.Counter()
        self.points: list[Point] = []
        self.tries: collections.Counter[int] = collections.Counter()
        self.first_in_all = new_histogram()
        self.refused_ms = new_histogram()
        self.started = 0.0
        self.sent = 0
        self.whole = 0
        self.tokens = 0
        self.prompt_tokens = 0
        self.reused_tokens = 0
        self.returning_prompt_tokens = 0
        self.returning_reused_tokens = 0
        self.new_tokens = 0
        self.unkept_tokens = 0
        self.returning_unkept_tokens = 0
        self.cold_returns = 0

    def begin(self, started: float) -> None:
        """Start the clock of the tries, at a monotonic time."""
        self.tries.clear()
        self.started = started

    def note_try(self) -> None:
        """Count a request that goes out now, first or sent again."""
        second = int(time.monotonic() - self.started)
        with self.lock:
            self.tries[second] += 1

    def take(
        self,
        request: workload.Request,
        answer: caller.Answer,
        waited_s: float = 0.0,
    ) -> None:
        """Take in one answer, and the time before its last try."""
        with self.lock:
            self.points.append(point_of(request, answer))
            if request.at_s < self.warmup_s:
                return
            self.sent += 1
            if not answer.done:
                self.refusals[refusal_of(answer)] += 1
                self.refused_ms.record_value(max(int(answer.head_s * US), 1))
                return
            self.take_whole(request, answer)
            in_all_us = int((waited_s + answer.first_token_s) * US)
            self.first_in_all.record_value(in_all_us)

    def take_whole(
        self, request: workload.Request, answer: caller.Answer
    ) -> None:
        """Take in a whole answer's figures."""
        self.whole += 1
        self.tokens += len(answer.tokens)
        self.prompt_tokens += request.tokens
        self.new_tokens += request.new_tokens
        self.unkept_tokens += request.unkept_tokens
        reused = min(answer.reused_tokens, request.tokens)
        self.reused_tokens += reused
        first_us = int(answer.first_token_s * US)
        self.first.record_value(first_us)
        organisation = self.by_organisation.setdefault(
            request.organisation, new_histogram()
        )
        organisation.record_value(first_us)
        for gap_s in answer.gaps_s:
            self.gaps.record_value(max(int(gap_s * US), 1))
        if request.returning:
            self.returning_first.record_value(first_us)
            self.returning_prompt_tokens += request.tokens
            self.returning_reused_tokens += reused
            self.returning_unkept_tokens += request.unkept_tokens
            could = request.tokens - request.unkept_tokens
            self.cold_returns += could > 0 and reused == 0

    def summary(self) -> Summary:
        """Return the figures."""
        with self.lock:
            return Summary(
                sent=self.sent,
                whole=self.whole,
                first_token_ms=summarize(self.first),
                first_token_in_all_ms=summarize(self.first_in_all),
                returning_first_token_ms=summarize(self.returning_first),
                gap_ms=summarize(self.gaps),
                prompt_tokens=self.prompt_tokens,
                reused_tokens=self.reused_tokens,
                recomputed_share=share(
                    self.prompt_tokens - self.reused_tokens,
                    self.prompt_tokens,
                ),
                returning_recomputed_share=share(
                    self.returning_prompt_tokens
                    - self.returning_reused_tokens,
                    self.returning_prompt_tokens,
                ),
                unavoidable_share=share(self.new_tokens, self.prompt_tokens),
                unavoidable_pieces_share=share(
                    self.unkept_tokens, self.prompt_tokens
                ),
                returning_unavoidable_pieces_share=share(
                    self.returning_unkept_tokens,
                    self.returning_prompt_tokens,
                ),
                cold_returns=self.cold_returns,
                tokens_per_s=round(self.tokens / self.measured_s, 1),
                refusals=dict(self.refusals),
                refused_ms=summarize(self.refused_ms),
                tries_by_second=[
                    self.tries[second]
                    for second in range(max(self.tries, default=-1) + 1)
                ],
                by_organisation_p95_ms={
                    name: summarize(values).p95
                    for name, values in sorted(self.by_organisation.items())
                },
            )


def share(part: int, whole: int) -> float:
    """Return a part of a whole, 0 of nothing."""
    return round(part / whole, 4) if whole else 0.0


def refusal_of(answer: caller.Answer) -> str:
    """Return what came instead of a whole answer."""
    if answer.problem:
        return f"{answer.problem.get('reason')}/{answer.ran}"
    return "cut" if answer.status else "no-connection"


def point_of(request: workload.Request, answer: caller.Answer) -> Point:
    """Return a request's point of the plot."""
    outcome = "whole" if answer.done else refusal_of(answer)
    first_ms = answer.first_token_s * 1000 if answer.done else -1.0
    return Point(round(request.at_s, 3), round(first_ms, 2), outcome)
