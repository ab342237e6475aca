"""Estimates of when a waiting request gets its turn."""

from __future__ import annotations

import collections
import dataclasses
import math

# Grants of this long count towards the rate of granted work.
WINDOW_S = 2.0
# With this many grants in this time, the rate is known before the window is
# full.  Engines grant in batches when several streams end together; a few
# grants would make the rate wrong by several times.
MIN_GRANTS = 8
MIN_MEASURED_S = 0.2
# A new backlog soon after the last one meets about the same capacity.
RATE_VALID_S = 10.0
# A caller that retries much sooner finds the same queue, since a busy
# endpoint frees a slot about every 20 ms.
MIN_RETRY_S = 0.3
# The rate of two seconds tells nothing about more distant times.
MAX_RETRY_S = 10.0
RETRY_JITTER = 0.5
# Relative change of the median time to an answer per sample.
STEP_FACTOR = 0.07


class GrantRate:
    """Rate of the work granted while requests waited; not thread-safe.

    Grants without a backlog show the demand and not the capacity, so they
    don't count.
    """

    def __init__(self) -> None:
        self.grants: collections.deque[tuple[float, int]] = collections.deque()
        self.work = 0
        self.backlog_since_s: float | None = None
        self.last_grant_s = 0.0
        self.previous: float | None = None
        self.previous_until_s = 0.0

    def begin(self, now_s: float) -> None:
        """Record that requests wait from now on."""
        if self.backlog_since_s is None:
            self.backlog_since_s = self.last_grant_s = now_s
            self.grants.clear()
            self.work = 0

    def end(self, now_s: float) -> None:
        """Record that no request waits any more."""
        if self.backlog_since_s is None:
            return
        measured = self.measured(now_s)
        if measured is not None:
            self.previous, self.previous_until_s = measured, now_s
        self.backlog_since_s = None

    def record(self, now_s: float, work: int) -> None:
        """Record a grant."""
        if self.backlog_since_s is None:
            return
        self.grants.append((now_s, work))
        self.work += work
        self.last_grant_s = now_s
        self.forget_old(now_s)

    def forget_old(self, now_s: float) -> None:
        """Drop the grants before the window."""
        while self.grants and self.grants[0][0] < now_s - WINDOW_S:
            self.work -= self.grants.popleft()[1]

    def per_s(self, now_s: float, typical_work: float) -> float | None:
        """Return the work granted per second; ``None`` if not known.

        Parameters
        ----------
        now_s
            Time by the boot clock.
        typical_work
            Work of a typical waiter.
        """
        measured = self.measured(now_s)
        if measured is not None:
            return measured
        since_s = self.last_grant_s
        if self.backlog_since_s is not None and now_s - since_s >= WINDOW_S:
            # Not one request was granted in this time.
            return typical_work / (now_s - since_s)
        if now_s - self.previous_until_s <= RATE_VALID_S:
            return self.previous
        return None

    def measured(self, now_s: float) -> float | None:
        """Return the rate in this backlog; ``None`` if not known yet."""
        if self.backlog_since_s is None:
            return None
        self.forget_old(now_s)
        elapsed_s = min(now_s - self.backlog_since_s, WINDOW_S)
        enough = len(self.grants) >= MIN_GRANTS and elapsed_s >= MIN_MEASURED_S
        if not self.grants or not (enough or elapsed_s >= WINDOW_S):
            return None
        return self.work / elapsed_s


class ArrivalRate:
    """Rate of the work that arrives; not thread-safe."""

    def __init__(self) -> None:
        self.arrivals: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.work = 0

    def record(self, now_s: float, work: int) -> None:
        """Record an arrival."""
        self.arrivals.append((now_s, work))
        self.work += work
        self.forget_old(now_s)

    def per_s(self, now_s: float) -> float:
        """Return the work that arrives per second."""
        self.forget_old(now_s)
        return self.work / WINDOW_S

    def forget_old(self, now_s: float) -> None:
        """Drop the arrivals before the window."""
        while self.arrivals and self.arrivals[0][0] < now_s - WINDOW_S:
            self.work -= self.arrivals.popleft()[1]


@dataclasses.dataclass(frozen=True)
class Rates:
    """Rates of work at a service.

    Attributes
    ----------
    granted_per_s
        Work granted per second; ``None`` if not known.
    arriving_per_s
        Work that arrives per second.
    """

    granted_per_s: float | None
    arriving_per_s: float


class AnswerTime:
    """Median time from a grant to the first event or the answer.

    Samples may come from several threads; a lost one does no harm.
    """

    def __init__(self) -> None:
        self.median_s: float | None = None

    def record(self, took_s: float) -> None:
        """Add a sample."""
        median_s = self.median_s
        if median_s is None:
            self.median_s = took_s
        elif took_s > median_s:
            self.median_s = median_s * (1 + STEP_FACTOR)
        else:
            self.median_s = median_s * (1 - STEP_FACTOR)

    def seconds(self) -> float:
        """Return the median; 0 without a sample."""
        return self.median_s or 0.0


@dataclasses.dataclass(frozen=True)
class Estimate:
    """When a request gets its turn, and what this is derived from.

    Attributes
    ----------
    position
        Number of requests before it.
    work_ahead, work
        Work that is granted before it, and its own.
    work_per_s
        Rate of granted work; ``None`` if not known.
    arriving_per_s
        Rate of arriving work.
    answer_s
        Time from its turn to its answer, in seconds.
    target_left_s, left_s
        Time until its target and until its deadline, in seconds.
    wait_left_s
        Time for which it may wait, in seconds.
    first_of_kind
        Whether aging bounds its wait, also if it is late.
    """

    position: int
    work_ahead: float
    work: int
    work_per_s: float | None
    arriving_per_s: float
    answer_s: float
    target_left_s: float
    left_s: float
    first_of_kind: bool = False
    wait_left_s: float = math.inf

    @property
    def wait_s(self) -> float:
        """Time until its turn, in seconds; 0 if not known.

        A request that will miss its target lets all new ones pass that can
        meet theirs.  They are assumed to arrive for as long as their rate
        was measured: a burst may end, so requests with much time left are
        not refused because of it.
        """
        if not self.work_per_s:
            return 0.0
        wait_s = self.work_ahead / self.work_per_s
        in_time = wait_s + self.answer_s <= self.target_left_s
        if in_time or self.first_of_kind:
            return wait_s
        passing = self.arriving_per_s * WINDOW_S
        bounded_s = (self.work_ahead + passing) / self.work_per_s
        remaining_per_s = self.work_per_s - self.arriving_per_s
        if remaining_per_s <= 0:
            return bounded_s
        return min(self.work_ahead / remaining_per_s, bounded_s)

    @property
    def is_too_late(self) -> bool:
        """Whether it can't wait for its turn or be answered after it."""
        wait_s = self.wait_s
        return wait_s > min(self.left_s - self.answer_s, self.wait_left_s)

    def retry_after_s(self, jitter: float) -> float:
        """Return when there is capacity for it, in seconds.

        Parameters
        ----------
        jitter
            Random number from 0 to 1, so that callers that are refused
            together do not return together.
        """
        room_s = 0.0
        if self.work_per_s:
            room_s = (self.work_ahead + self.work) / self.work_per_s
        bounded_s = min(max(room_s, MIN_RETRY_S), MAX_RETRY_S)
        return bounded_s * (1 + RETRY_JITTER * jitter)

    def log_fields(self) -> dict[str, float | int | None]:
        """Return the grounds for a refusal, as log fields."""
        return {
            "position": self.position,
            "work_ahead": round(self.work_ahead),
            "work_per_s": self.work_per_s and round(self.work_per_s, 1),
            "arriving_per_s": round(self.arriving_per_s, 1),
            "estimated_wait_ms": round(self.wait_s * 1000),
            "answer_ms": round(self.answer_s * 1000),
            "time_left_ms": round(self.left_s * 1000),
        }
