"""What instances tell each other of who gives orders."""

from __future__ import annotations

import dataclasses
import threading
import typing

import msgspec

from briarseam import clocks
from briarseam.weights import leader

if typing.TYPE_CHECKING:
    import collections.abc

# Four heartbeats: an instance that was not heard for so long has ended, is
# suspended or is cut off.
SILENT_S = 2.0
# This instance does something of the kind each half a second; after a longer
# pause it was suspended itself, and others look silent that are not.
PAUSE_S = 1.2
NEVER_S = float("-inf")
# Whether it holds the duty, seconds since its last order, its own time.
Told = tuple[bool, float, float]


@dataclasses.dataclass(frozen=True)
class LeaderReport:
    """What one instance said of its duty.

    Attributes
    ----------
    heard_s
        When, by the boot clock of this instance.
    is_leader
        Whether it took itself for the holder.
    ordered_s
        When it sent its last order, by the same clock, its former
        processes' included.
    """

    heard_s: float
    is_leader: bool
    ordered_s: float

    def latest_order_s(self) -> float:
        """Return until when it may have ordered, as far as one knows."""
        if not self.is_leader:
            return self.ordered_s
        return max(self.ordered_s, self.heard_s + leader.VALID_S)


class LeaderReports:
    """Tells a new holder whether somebody may still be giving orders.

    A holder that lost the duty learns of it with its next call to the
    store.  A new one that orders at once would take turns with it; one that
    always waits for as long as a lease lasts loses seconds that a rollout
    does not have, mostly for nobody: the former holder has ended, or has
    given no order for a while.

    Parameters
    ----------
    others
        Returns the names of all other instances, ``None`` while it is not
        known who they are or some are out of hearing.
    engines_check_fence
        Whether engines refuse the orders of a former holder.  Only then an
        instance that is silent need not be waited for: what it has sent, or
        sends when it wakes, changes nothing.
    clock
        Seconds; goes on while the instance is suspended.
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
        self.awake_since_s = clock()
        self.active_s = clock()
        self.is_leader: typing.Callable[[], bool] = lambda: False
        self.ordered_s = NEVER_S
        self.reports: dict[str, LeaderReport] = {}
        self.lock = threading.Lock()

    def record_active(self) -> float:
        """Note that this instance is not suspended; return the time."""
        now_s = self.clock()
        if now_s - self.active_s > PAUSE_S:
            self.awake_since_s = now_s
        self.active_s = now_s
        return now_s

    def record_order(self) -> None:
        """Note that this instance is sending an order."""
        self.ordered_s = self.clock()

    def provide(self) -> bytes:
        """Return what peers should know."""
        now_s = self.record_active()
        return msgspec.msgpack.encode(
            # The time makes each heartbeat's content a new one, so that
            # peers take it in.
            (self.is_leader(), now_s - self.ordered_s, now_s)
        )

    def consume(self, member: str, data: bytes) -> None:
        """Take in what a peer says."""
        is_leader, since_order_s, _said_s = msgspec.msgpack.decode(
            data, type=Told
        )
        now_s = self.record_active()
        ordered_s = now_s - since_order_s
        with self.lock:
            known = self.reports.get(member)
            if known is not None:
                # A process that has just started knows of no order.
                ordered_s = max(ordered_s, known.ordered_s)
            self.reports[member] = LeaderReport(now_s, is_leader, ordered_s)

    def are_others_idle(self, since_s: float, lease_s: float) -> bool:
        """Tell whether no other instance gives orders, or just did.

        Parameters
        ----------
        since_s
            When this instance was given the duty.
        lease_s
            How long after an order of another instance none may be given.
        """
        now_s = self.record_active()
        others = self.others()
        if others is None:
            return False
        names = set(others)
        with self.lock:
            reports = dict(self.reports)
        # An instance that is listed no more may have ordered just before.
        if (names or reports) and not self.engines_check_fence():
            return False
        latest_s = [report.latest_order_s() for report in reports.values()]
        if any(at_s > now_s - lease_s for at_s in latest_s):
            return False
        return all(
            self.is_silent(reports.get(name), now_s)
            or was_heard(reports.get(name), since_s)
            for name in names
        )

    def is_silent(self, report: LeaderReport | None, now_s: float) -> bool:
        """Tell whether an instance was not heard for some heartbeats."""
        heard_s = NEVER_S if report is None else report.heard_s
        return now_s - max(heard_s, self.awake_since_s) >= SILENT_S


def was_heard(report: LeaderReport | None, since_s: float) -> bool:
    """Tell whether an instance said something since a time."""
    return report is not None and report.heard_s >= since_s
