"""Whether this agent's view of its cell is recent."""

from __future__ import annotations

import typing


class Freshness:
    """When this process last ran, and last heard an answer.

    Parameters
    ----------
    limit_s
        Longest time without an answer.
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
        """Note that this process runs."""
        self.ticked_at = self.clock()

    def record_reply(self, sent_at: float) -> None:
        """Note that a heartbeat sent at ``sent_at`` was answered."""
        self.superseded = False
        if self.replied_at is None or sent_at > self.replied_at:
            self.replied_at = sent_at

    def record_superseded(self) -> None:
        """Note that a peer hears a later start of this instance."""
        self.superseded = True

    def is_fresh(self, has_peers: bool) -> bool:
        """Tell whether the view is recent.

        A process that was frozen finds its old view on waking, with dead
        members still alive in it.  The view counts only when a heartbeat
        that this agent sent within the limit was answered; the time is
        worked out at the call, so no thread has to run first.

        Parameters
        ----------
        has_peers
            Whether there is anybody who could answer.
        """
        if self.superseded or not self.is_recent(self.ticked_at):
            return False
        return not has_peers or self.is_recent(self.replied_at)

    def is_recent(self, at: float | None) -> bool:
        """Tell whether a time is within the limit."""
        return at is not None and self.clock() - at <= self.limit_s
