"""Freshness of the local agent's view of its cell."""

from __future__ import annotations

import typing


class Freshness:
    """Times at which this process last ran and last received a reply.

    Parameters
    ----------
    limit_s
        Maximum age of the last reply, in seconds.
    clock
        Monotonic clock.
    """

    def __init__(
        self, limit_s: float, clock: typing.Callable[[], float]
    ) -> None:
        self.limit_s = limit_s
        self.clock = clock
        self.superseded = False
        self.ticked_at: float | None = None
        self.replied_at: float | None = None

    def record_tick(self) -> None:
        """Record that this process runs."""
        self.ticked_at = self.clock()

    def record_reply(self, sent_at: float) -> None:
        """Record a reply to a heartbeat sent at ``sent_at``."""
        self.superseded = False
        if self.replied_at is None or sent_at > self.replied_at:
            self.replied_at = sent_at

    def record_superseded(self) -> None:
        """Record that a later incarnation of this instance is live."""
        self.superseded = True

    def is_fresh(self, has_peers: bool) -> bool:
        """Return whether the view is recent.

        A process that resumes after a suspension still has its former view,
        in which dead members are alive.  The view is fresh only if a
        heartbeat sent within the limit was answered.  The age is computed
        at the call, so it does not depend on a thread that runs first.

        Parameters
        ----------
        has_peers
            Whether there are peers that could reply.
        """
        if self.superseded or not self.is_recent(self.ticked_at):
            return False
        return not has_peers or self.is_recent(self.replied_at)

    def is_recent(self, at: float | None) -> bool:
        """Return whether a time is within the limit."""
        return at is not None and self.clock() - at <= self.limit_s
