"""Reports between instances about which of them gives orders."""

from __future__ import annotations

import dataclasses
import threading
import typing

import msgspec

from briarseam import clocks
from briarseam.weights import leader

if typing.TYPE_CHECKING:
    import collections.abc

# Four heartbeats: an instance that has been silent for so long has ended, is
# suspended or is cut off.
SILENT_S = 2.0
# This instance calls ``record_active`` about every half second.  After a
# longer pause it was suspended itself, and others look silent that are not.
MAX_PAUSE_S = 1.2
NEVER_S = float("-inf")
# Whether the sender is the leader, seconds since its last order, its clock.
Section = tuple[bool, float, float]


@dataclasses.dataclass(frozen=True)
class LeaderReport:
    """The last report of one instance.

    Attributes
    ----------
    received_s
        When it was received, by the boot clock of this instance.
    is_leader
        Whether the sender believed that it was the leader.
    ordered_s
        When the sender sent its last order, by the same clock, including
        orders of its former processes.
    """

    received_s: float
    is_leader: bool
    ordered_s: float

    def latest_order_s(self) -> float:
        """Return the latest time at which the sender may have ordered."""
        if not self.is_leader:
            return self.ordered_s
        return max(self.ordered_s, self.received_s + leader.VALID_S)


class LeaderReports:
    """Determines whether another instance may still be giving orders.

    A leader that lost the leadership learns of it with its next call to the
    store.  The orders of a new leader that starts at once could interleave
    with those of the former one.  A new leader that always waits for the
    time of a lease loses seconds that a rollout does not have, mostly
    without need: the former leader has ended, or has given no order lately.

    Parameters
    ----------
    others
        Returns the names of all other instances; ``None`` if they are not
        known, or some send no heartbeats to this instance.
    engines_check_fence
        Returns whether engines refuse the orders of a former leader.  Only
        then a silent instance need not be waited for: the orders that it has
        sent, or sends after a suspension, have no effect.
    clock
        Seconds, including the time while the instance is suspended.
    """

    def __init__(
        self,
        others: typing.Callable[[], collections.abc.Iterable[str] | None],
        engines_check_fence: typing.Callable[[], bool],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.others = others
        self.engines_check_fence = engines_check_fence
        self.clock = clock
        self.resumed_s = clock()
        self.last_active_s = clock()
        self.is_leader: typing.Callable[[], bool] = lambda: False
        self.ordered_s = NEVER_S
        self.reports: dict[str, LeaderReport] = {}
        self.lock = threading.Lock()

    def record_active(self) -> float:
        """Record that this instance is not suspended; return the time."""
        now_s = self.clock()
        if now_s - self.last_active_s > MAX_PAUSE_S:
            self.resumed_s = now_s
        self.last_active_s = now_s
        return now_s

    def record_order(self) -> None:
        """Record that this instance is sending an order."""
        self.ordered_s = self.clock()

    def provide(self) -> bytes:
        """Return the heartbeat section for peers."""
        now_s = self.record_active()
        return msgspec.msgpack.encode(
            # The time makes the content of each heartbeat different, so that
            # peers apply it.
            (self.is_leader(), now_s - self.ordered_s, now_s)
        )

    def consume(self, member: str, data: bytes) -> None:
        """Apply a peer's section."""
        is_leader, since_order_s, _sent_s = msgspec.msgpack.decode(
            data, type=Section
        )
        now_s = self.record_active()
        ordered_s = now_s - since_order_s
        with self.lock:
            known = self.reports.get(member)
            if known is not None:
                # A process that has just started does not know of orders
                # that its former process gave.
                ordered_s = max(ordered_s, known.ordered_s)
            self.reports[member] = LeaderReport(now_s, is_leader, ordered_s)

    def are_others_idle(self, since_s: float, lease_s: float) -> bool:
        """Return whether no other instance gives orders or did just before.

        Parameters
        ----------
        since_s
            When this instance became leader.
        lease_s
            Time after an order of another instance in which no order may be
            given, in seconds.
        """
        now_s = self.record_active()
        others = self.others()
        if others is None:
            return False
        names = set(others)
        with self.lock:
            reports = dict(self.reports)
        # An instance that is no longer listed may have ordered just before.
        if (names or reports) and not self.engines_check_fence():
            return False
        latest_s = [report.latest_order_s() for report in reports.values()]
        if any(at_s > now_s - lease_s for at_s in latest_s):
            return False
        return all(
            self.is_silent(reports.get(name), now_s)
            or is_received_since(reports.get(name), since_s)
            for name in names
        )

    def is_silent(self, report: LeaderReport | None, now_s: float) -> bool:
        """Return whether an instance has missed some heartbeats."""
        received_s = NEVER_S if report is None else report.received_s
        return now_s - max(received_s, self.resumed_s) >= SILENT_S


def is_received_since(report: LeaderReport | None, since_s: float) -> bool:
    """Return whether a report was received at or after a time."""
    return report is not None and report.received_s >= since_s
