"""Until when parts of a weight version may be fetched from stores.

A store does not know who reads from it, and an instance that frees parts
does not know which fetches others have started.  An instance therefore starts
them only while it holds a lease on the version, and tells the endpoint when
to give up.  The lease begins when the version was last known not to be
replaced.  Whoever has seen it replaced frees its parts once all leases, and
the fetches started under them, have ended.  Nobody has to be heard for this,
and suspensions, restarts and lost messages only shorten leases.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import typing

from briarseam import clocks
from briarseam import repeating

if typing.TYPE_CHECKING:
    from briarseam.weights import goals

RENEW_S = 0.25
# Longest time from the decision to fetch until the end of the fetch.  The
# endpoint discards a fetch that takes longer, and prefills the prompt.
FETCH_LIMIT_S = 5.0
# An instance that has started, or has not known the named weights for a while,
# fetches nothing for this time: another one may just be freeing what only it,
# with what it has read now, would use again.
START_WAIT_S = 2.5
# Age from which knowledge counts as interrupted.  At most `START_WAIT_S`, so
# that a message that waited for a suspended process has become too old when
# it might first be used.
MAX_GAP_S = 2.5
# Differences between the clocks of instances and endpoints.
CLOCK_SLACK_S = 1.0
EndOfFetch = typing.Callable[[str, int], float | None]


def may_always_fetch(model: str, version: int) -> float | None:
    """Return that fetches need not end; the default."""
    del model, version
    return math.inf


def free_after_s(lease_s: float, max_age_s: float) -> float:
    """Return how long after its end of use a part may be freed, in seconds.

    Parameters
    ----------
    lease_s
        Duration of a lease; 0 if use ends at once.
    max_age_s
        Age of a configuration up to which instances fetch anything.
    """
    return max(lease_s, max_age_s) + FETCH_LIMIT_S + CLOCK_SLACK_S


@dataclasses.dataclass(frozen=True)
class Confirmation:
    """That no newer weights were named until some time.

    Attributes
    ----------
    newest
        The newest weights by model.
    until_s
        The time until which no others were named.
    """

    newest: typing.Mapping[str, goals.WeightGoal]
    until_s: float

    def covers(self, model: str, version: int) -> bool:
        """Return whether a version was not replaced by then."""
        goal = self.newest.get(model)
        return goal is None or goal.version <= version


class FetchLeases:
    """Leases of this instance on weight versions; thread-safe.

    Parameters
    ----------
    lease_s
        Returns the duration of a lease in seconds: how long after it was
        replaced a version is still in use.
    newest
        Returns the newest weights by model; the mapping doesn't change.
    known_until_s
        Returns until when all named weights are known.
    clock
        Seconds; goes on while the process is suspended.
    """

    def __init__(
        self,
        lease_s: typing.Callable[[], float],
        newest: typing.Callable[[], typing.Mapping[str, goals.WeightGoal]],
        known_until_s: typing.Callable[[], float],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.lease_s = lease_s
        self.newest = newest
        self.known_until_s = known_until_s
        self.clock = clock
        self.resumed_s = clock()
        self.pending_until_s = -math.inf
        # The latest first; replaced as a whole.
        self.confirmations: tuple[Confirmation, ...] = ()
        self.renewals = repeating.Repeater("fetch-leases", self.renew, RENEW_S)

    def start(self) -> None:
        """Start renewing."""
        self.renewals.start()

    def stop(self) -> None:
        """Stop renewing."""
        self.renewals.stop()

    def renew(self) -> None:
        """Renew the leases on all versions that are not replaced.

        What a heartbeat tells is applied piece by piece, weights after the
        time until which they are known.  So a time counts from the next
        renewal only.
        """
        now_s = self.clock()
        until_s = self.pending_until_s
        self.pending_until_s = self.known_until_s()
        if now_s - until_s > MAX_GAP_S:
            self.resumed_s = now_s
        if now_s - self.resumed_s < START_WAIT_S:
            self.confirmations = ()
            return
        earliest_s = now_s - self.lease_s()
        confirmations = collections.deque(
            known
            for known in self.confirmations
            if known.until_s >= earliest_s
        )
        if until_s >= earliest_s:
            confirmations.appendleft(Confirmation(self.newest(), until_s))
        self.confirmations = tuple(confirmations)

    def end_of_fetch(self, model: str, version: int) -> float | None:
        """Return when a fetch that is decided on now must have ended.

        Returns
        -------
        float | None
            Time by the clock, in seconds; ``None`` if none may begin.
        """
        now_s = self.clock()
        if now_s - self.pending_until_s > MAX_GAP_S:
            return None
        earliest_s = now_s - self.lease_s()
        for known in self.confirmations:
            if known.until_s >= earliest_s and known.covers(model, version):
                return now_s + FETCH_LIMIT_S
        return None
