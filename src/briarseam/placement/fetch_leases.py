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

import dataclasses
import math
import typing

from briarseam import clocks
from briarseam import repeating

if typing.TYPE_CHECKING:
    from briarseam.weights import goals

RENEW_S = 0.1
# Longest duration of a lease, whatever the settings say.
MAX_LEASE_S = 12.0
# Longest time from the decision to fetch until the end of the fetch.  The
# endpoint discards a fetch that takes longer, and prefills the prompt.
FETCH_LIMIT_S = 5.0
# An instance that has started, or could not read what is named for a while,
# fetches nothing for this time after its first reading: another one may just
# be freeing what only it, with what it has read now, would use again.
START_WAIT_S = 0.4
# Time between two readings from which this holds.  Parts are only freed after
# they have been out of use for longer.
MAX_GAP_S = FETCH_LIMIT_S
# Differences between the clocks of instances and endpoints.
CLOCK_SLACK_S = 1.0
EndOfFetch = typing.Callable[[str, int], float | None]


def may_always_fetch(model: str, version: int) -> float | None:
    """Return that fetches need not end; the default."""
    del model, version
    return math.inf


def free_after_s() -> float:
    """Return how long after it was replaced a part may be freed, in seconds.

    The same for all instances, whose settings may differ while they change.
    """
    return MAX_LEASE_S + FETCH_LIMIT_S + CLOCK_SLACK_S


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
    in_use_s
        Returns how long replaced weights are still in use, in seconds; a
        lease is no longer than that.
    newest
        Returns the newest weights by model; the mapping doesn't change.
    read_until_s
        Returns until when this instance has read all that was named.  What
        peers tell doesn't count: a message may arrive late.
    clock
        Seconds; goes on while the process is suspended.
    """

    def __init__(
        self,
        in_use_s: typing.Callable[[], float],
        newest: typing.Callable[[], typing.Mapping[str, goals.WeightGoal]],
        read_until_s: typing.Callable[[], float],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.in_use_s = in_use_s
        self.newest = newest
        self.read_until_s = read_until_s
        self.clock = clock
        self.until_s = -math.inf
        self.resumed_s = math.inf
        # One for each set of newest weights, the latest first; replaced as a
        # whole.
        self.confirmations: tuple[Confirmation, ...] = ()
        self.renewals = repeating.Repeater("fetch-leases", self.renew, RENEW_S)

    def start(self) -> None:
        """Start renewing."""
        self.renewals.start()

    def stop(self) -> None:
        """Stop renewing."""
        self.renewals.stop()

    def lease_s(self) -> float:
        """Return the duration of a lease, in seconds."""
        return min(self.in_use_s(), MAX_LEASE_S)

    def renew(self) -> None:
        """Renew the leases on all versions that are not replaced."""
        now_s = self.clock()
        # Read before the weights, which may be newer then.
        until_s = self.read_until_s()
        if until_s - self.until_s > MAX_GAP_S:
            self.resumed_s = now_s
            self.confirmations = ()
        self.until_s = max(self.until_s, until_s)
        if now_s - self.resumed_s < START_WAIT_S:
            return
        newest = self.newest()
        earliest_s = now_s - self.lease_s()
        replaced = (
            known
            for known in self.confirmations
            if known.newest is not newest and known.until_s >= earliest_s
        )
        self.confirmations = (Confirmation(newest, self.until_s), *replaced)

    def end_of_fetch(self, model: str, version: int) -> float | None:
        """Return when a fetch that is decided on now must have ended.

        Returns
        -------
        float | None
            Time by the clock, in seconds; ``None`` if none may begin.
        """
        now_s = self.clock()
        earliest_s = now_s - self.lease_s()
        for known in self.confirmations:
            if known.until_s >= earliest_s and known.covers(model, version):
                return now_s + FETCH_LIMIT_S
        return None
