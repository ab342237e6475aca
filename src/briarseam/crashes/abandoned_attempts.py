"""Attempts that were ended before their endpoint answered.

The caller has left, the deadline has passed or the instance stops.  A request
that crashes endpoints may do so a moment later, and then only what it was
sent to tells of it.  Callers leave all the time, so such an attempt counts
for nothing unless its endpoint turns out to have ended at that time.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
import typing

from briarseam import clocks
from briarseam.crashes import loss_times

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.discovery import model as discovery
    from briarseam.reachability import tracker

# An endpoint that goes on for so long was not crashed by the request.
RUN_ON_S = 1.0
# If nothing was heard from the endpoint by then, it is checked.
CHECK_AFTER_S = 0.3
# Until then entries show whether an endpoint has ended.
MAX_AGE_S = 8.0
# A few seconds of impatient callers.
MAX_ATTEMPTS = 2000
# A request after whose attempt the endpoint went on is not recorded for so
# long: callers who poll and always leave would cost a write each second.
HARMLESS_S = 60.0
# Bounds on memory; callers choose their requests.
MAX_HARMLESS = 2000


@dataclasses.dataclass
class Attempt:
    """An attempt that was ended early.

    Attributes
    ----------
    digest
        Key of the request.
    endpoint
        The endpoint that it was sent to.
    at_s
        When it was ended, by the clock.
    parts
        Keys of the parts of its prompt that a loss would speak against.
    is_checked
        Whether the endpoint was checked since.
    """

    digest: bytes
    endpoint: discovery.Endpoint
    at_s: float
    parts: tuple[bytes, ...] = ()
    is_checked: bool = False


class AbandonedAttempts:
    """Attempts whose endpoint may end because of them; thread-safe.

    Parameters
    ----------
    reachability
        Tells which endpoints answer, and checks others.
    clock
        Seconds.

    Attributes
    ----------
    harmless_s
        When an endpoint was last found to go on after a request, by digest;
        the oldest comes first.
    """

    def __init__(
        self,
        reachability: tracker.Reachability,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.reachability = reachability
        self.clock = clock
        self.attempts: collections.deque[Attempt] = collections.deque(
            maxlen=MAX_ATTEMPTS
        )
        self.harmless_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self.lock = threading.Lock()

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that was just ended."""
        with self.lock:
            self.attempts.append(attempt)

    def take_ended_with(self, endpoint_id: str, at_s: float) -> list[Attempt]:
        """Remove and return attempts that an endpoint ended shortly after.

        Parameters
        ----------
        endpoint_id
            An endpoint at which another request was lost.
        at_s
            When, by the clock.
        """
        return self.take(
            lambda one: (
                one.endpoint.id == endpoint_id and at_s - one.at_s < RUN_ON_S
            )
        )

    def take_ended(
        self, has_ended: typing.Callable[[str], bool]
    ) -> list[Attempt]:
        """Remove and return attempts whose endpoint seems to have ended.

        Those are forgotten whose endpoint goes on, and the endpoints that
        say nothing are checked.

        Parameters
        ----------
        has_ended
            Returns whether entries show the end of an endpoint.
        """
        reachability = self.reachability
        self.forget_over()
        ended = self.take(
            lambda one: (
                has_ended(one.endpoint.id)
                or reachability.has_failed(one.endpoint)
            )
        )
        for one in self.unchecked():
            one.is_checked = True
            if not reachability.heard_from_after(one.endpoint, one.at_s):
                reachability.doubt(one.endpoint)
        return ended

    def unchecked(self) -> list[Attempt]:
        """Return attempts whose endpoint is to be checked now."""
        before_s = self.clock() - CHECK_AFTER_S
        with self.lock:
            return [
                one
                for one in self.attempts
                if not one.is_checked and one.at_s <= before_s
            ]

    def forget_over(self) -> None:
        """Forget attempts that have not crashed their endpoint."""
        over = self.take(self.is_over)
        now_s = self.clock()
        with self.lock:
            for one in filter(self.has_run_on, over):
                self.harmless_s[one.digest] = now_s
                self.harmless_s.move_to_end(one.digest)
            while len(self.harmless_s) > MAX_HARMLESS:
                self.harmless_s.popitem(last=False)

    def is_over(self, attempt: Attempt) -> bool:
        """Return whether an attempt has not crashed its endpoint."""
        is_old = self.clock() - attempt.at_s >= MAX_AGE_S
        return is_old or self.has_run_on(attempt)

    def has_run_on(self, attempt: Attempt) -> bool:
        """Return whether an endpoint has gone on after an attempt."""
        return self.reachability.heard_from_after(
            attempt.endpoint, attempt.at_s + RUN_ON_S
        )

    def unexplained(self) -> loss_times.Lost:
        """Return when requests were ended that may crash their endpoint.

        Those are left out after which an endpoint went on lately.
        """
        oldest_s = self.clock() - HARMLESS_S
        with self.lock:
            return {
                (one.digest, one.endpoint.id): one.at_s
                for one in self.attempts
                if self.harmless_s.get(one.digest, oldest_s) <= oldest_s
            }

    def take(self, chooses: typing.Callable[[Attempt], bool]) -> list[Attempt]:
        """Remove and return some attempts."""
        taken: list[Attempt] = []
        rest: list[Attempt] = []
        with self.lock:
            for one in self.attempts:
                (taken if chooses(one) else rest).append(one)
            if taken:
                self.attempts = collections.deque(rest, MAX_ATTEMPTS)
        return taken
