"""Election of the instance that gives orders.

The leader is the member of a group that holds the group's one partition on
the store.  Log events call the leadership "duty".
"""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

from briarseam import clocks
from briarseam.feeds import records

# Interval of the calls that keep a member in the group, and the silence after
# which the store gives the partition to another member.  A rollout takes some
# seconds, so two seconds without a leader are acceptable; one or two failed
# calls have no effect.
JOIN_INTERVAL_S = 0.5
TTL_S = 2.2
# A leader that could not renew stops after this time, before the store's own
# TTL is over, including the time that an order takes to arrive.
VALID_S = 1.3
PARTITION = 0
log = structlog.get_logger("briarseam.weights")


class GroupStore(typing.Protocol):
    """A store that assigns partitions to the members of a group."""

    def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_s: float,
        generation: int,
    ) -> records.GroupShare:
        """Join a group or stay in it."""

    def leave(self, group: str, member: str) -> None:
        """Leave a group."""


@dataclasses.dataclass(frozen=True)
class Grant:
    """The leadership as of the store's last answer.

    Attributes
    ----------
    fence
        Fencing number: the group's generation, which grows with each change
        of leader.
    gained_s
        When this instance became leader, by the boot clock.
    usable_s
        When it may be used in any case, by the boot clock.
    until_s
        When it expires unless renewed, by the boot clock.
    """

    fence: int
    gained_s: float
    usable_s: float
    until_s: float


class Leadership:
    """Keeps this instance in the group and tracks whether it is the leader.

    A former leader may have sent an order just before it lost the
    leadership, and learns of the loss with its next call to the store only.
    Orders of two leaders must not interleave, so a new leader waits until
    the former one's leadership has expired, unless all other instances
    report that they give no orders.

    Parameters
    ----------
    store, group, topic
        Store, group and topic of the partition.
    member
        Id of this start of this instance.
    wait_s
        Wait of a new leader before its first order, in seconds.
    is_candidate
        Returns whether this instance takes part in the election.  A few
        candidates are enough for a large deployment, and each call to the
        store counts.
    are_others_idle
        Returns whether no other instance can be giving orders, for the time
        when this instance became leader.
    clock
        Seconds, including the time while the instance is suspended.
    """

    def __init__(
        self,
        store: GroupStore,
        group: str,
        topic: str,
        member: str,
        wait_s: float,
        is_candidate: typing.Callable[[], bool] = lambda: True,
        are_others_idle: typing.Callable[[float], bool] = lambda since_s: (
            False
        ),
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.store = store
        self.group = group
        self.topic = topic
        self.member = member
        self.wait_s = wait_s
        self.is_candidate = is_candidate
        self.are_others_idle = are_others_idle
        self.clock = clock
        self.generation = 0
        self.grant: Grant | None = None
        # ``gained_s`` of the grant for which no other instance gives orders.
        self.usable_gained_s = float("-inf")
        self.refused_fence = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="tenure", daemon=True
        )

    def start(self) -> None:
        """Start taking part in the election."""
        self.thread.start()

    def stop(self) -> None:
        """Give up the leadership and leave the group."""
        self.stopping.set()
        self.grant = None
        try:
            self.store.leave(self.group, self.member)
        except records.StoreUnavailableError as error:
            # The store removes the member when its TTL is over.
            log.warning("duty_not_given_up", detail=str(error))

    def fence(self) -> int | None:
        """Return the fencing number if this instance may order right now.

        Call it right before each order.
        """
        grant = self.grant
        now_s = self.clock()
        if grant is None or now_s >= grant.until_s:
            return None
        if grant.fence <= self.refused_fence:
            return None
        if now_s < grant.usable_s and not self.is_usable(grant):
            return None
        return grant.fence

    def is_usable(self, grant: Grant) -> bool:
        """Return whether no former leader has to be waited for."""
        if self.usable_gained_s == grant.gained_s:
            return True
        if not self.are_others_idle(grant.gained_s):
            return False
        self.usable_gained_s = grant.gained_s
        log.info(
            "duty_usable",
            fence=grant.fence,
            waited_s=round(self.clock() - grant.gained_s, 2),
        )
        return True

    def is_held(self) -> bool:
        """Return whether this instance believes that it is the leader."""
        grant = self.grant
        return grant is not None and self.clock() < grant.until_s

    def record_superseded(self, fence: int) -> None:
        """Record that an engine has seen a higher fencing number."""
        self.refused_fence = max(self.refused_fence, fence)
        log.warning("duty_superseded", fence=fence)

    def run(self) -> None:
        """Take part in the election until stopped."""
        while not self.stopping.is_set():
            try:
                self.update_membership()
            except records.StoreUnavailableError as error:
                log.info("duty_not_renewed", detail=str(error))
            except Exception:
                # Without the thread, this instance would never lead again.
                log.exception("duty_failed")
            self.stopping.wait(JOIN_INTERVAL_S)

    def update_membership(self) -> None:
        """Join the group or stay in it as a candidate, otherwise leave it."""
        if self.is_candidate():
            self.join_once()
        elif self.generation:
            self.grant = None
            self.store.leave(self.group, self.member)
            self.generation = 0
            log.info("duty_left_to_others")

    def join_once(self) -> None:
        """Join the group or stay in it, and update the leadership."""
        sent_s = self.clock()
        share = self.store.join(
            self.group, self.member, self.topic, TTL_S, self.generation
        )
        self.generation = share.generation
        if self.stopping.is_set():
            # The leadership was given up during the call.
            self.grant = None
            return
        if (self.topic, PARTITION) not in share.parts:
            if self.grant is not None:
                log.info("duty_lost", generation=share.generation)
            self.grant = None
            return
        until_s = sent_s + VALID_S
        grant = self.grant
        # After a gap another instance may have been the leader in between.
        if grant is not None and sent_s < grant.until_s:
            self.grant = dataclasses.replace(
                grant, fence=share.generation, until_s=until_s
            )
            return
        log.info("duty_gained", wait_s=self.wait_s, fence=share.generation)
        now_s = self.clock()
        self.grant = Grant(
            share.generation, now_s, now_s + self.wait_s, until_s
        )
