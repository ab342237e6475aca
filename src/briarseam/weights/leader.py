"""Who gives orders: the member of a group that holds its one partition."""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

from briarseam import clocks
from briarseam.feeds import records

# How often a member says that it lives, and after how much silence the
# store gives the partition to another one.  A rollout takes some seconds,
# so its loss for two is bearable, and a lost call or two change nothing.
JOIN_INTERVAL_S = 0.5
TTL_S = 2.2
# A holder that could not renew stops this early: before the store's own
# time is over, an order's way included.
VALID_S = 1.3
PARTITION = 0
log = structlog.get_logger("briarseam.weights")


class GroupStore(typing.Protocol):
    """A store that shares out partitions among the members of a group."""

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
class Held:
    """The duty, as of the last answer of the store.

    Attributes
    ----------
    fence
        Fencing number: the group's generation, which grows with each
        change of holder.
    gained_s
        When it was given to this instance, by the boot clock.
    since_s, until_s
        From when it may be used in any case, and how long.
    """

    fence: int
    gained_s: float
    since_s: float
    until_s: float


class Leadership:
    """Keeps this instance in the group and knows whether it holds the duty.

    A former holder may have sent an order just before it lost the duty, and
    may not know of its loss until its next call.  Orders of two holders
    would cross; so a new one waits for as long as the former one could
    still believe in its tenure, unless all others say that they give none.

    Parameters
    ----------
    store, group, topic
        Where the duty lies.
    member
        This start of this instance.
    wait_s
        What a new holder waits before its first order, in seconds.
    is_candidate
        Tells whether this instance should take part; a few of a large
        deployment are enough, and each call is counted.
    are_others_idle
        Tells whether no other instance can be giving orders, given since
        when this one has the duty.
    clock
        Seconds; goes on while the instance is suspended.
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
        self.held: Held | None = None
        # The gain of the duty since which nobody else gave orders.
        self.usable_gained_s = float("-inf")
        self.refused_fence = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="tenure", daemon=True
        )

    def start(self) -> None:
        """Begin to take part."""
        self.thread.start()

    def stop(self) -> None:
        """Give the duty up."""
        self.stopping.set()
        self.held = None
        try:
            self.store.leave(self.group, self.member)
        except records.StoreUnavailableError as error:
            # The store takes it away by itself when its time is over.
            log.warning("duty_not_given_up", detail=str(error))

    def fence(self) -> int | None:
        """Return the fencing number if this instance may order right now.

        Ask right before each order.
        """
        held = self.held
        now_s = self.clock()
        if held is None or now_s >= held.until_s:
            return None
        if held.fence <= self.refused_fence:
            return None
        if now_s < held.since_s and not self.is_usable(held):
            return None
        return held.fence

    def is_usable(self, held: Held) -> bool:
        """Tell whether there is nobody to wait for."""
        if self.usable_gained_s == held.gained_s:
            return True
        if not self.are_others_idle(held.gained_s):
            return False
        self.usable_gained_s = held.gained_s
        log.info(
            "duty_usable",
            fence=held.fence,
            waited_s=round(self.clock() - held.gained_s, 2),
        )
        return True

    def is_held(self) -> bool:
        """Tell whether this instance takes itself for the holder."""
        held = self.held
        return held is not None and self.clock() < held.until_s

    def note_superseded(self, fence: int) -> None:
        """Take note that an engine has seen a higher number than ours."""
        self.refused_fence = max(self.refused_fence, fence)
        log.warning("duty_superseded", fence=fence)

    def run(self) -> None:
        """Take part until stopped."""
        while not self.stopping.is_set():
            try:
                self.take_part()
            except records.StoreUnavailableError as error:
                log.info("duty_not_renewed", detail=str(error))
            self.stopping.wait(JOIN_INTERVAL_S)

    def take_part(self) -> None:
        """Stay in the group, or out of it."""
        if self.is_candidate():
            self.join_once()
        elif self.generation:
            self.held = None
            self.store.leave(self.group, self.member)
            self.generation = 0
            log.info("duty_left_to_others")

    def join_once(self) -> None:
        """Say that this instance lives, and see what it holds."""
        asked_s = self.clock()
        share = self.store.join(
            self.group, self.member, self.topic, TTL_S, self.generation
        )
        self.generation = share.generation
        if self.stopping.is_set():
            # The duty was given up while the call was under way.
            self.held = None
            return
        if (self.topic, PARTITION) not in share.parts:
            if self.held is not None:
                log.info("duty_lost", generation=share.generation)
            self.held = None
            return
        until_s = asked_s + VALID_S
        held = self.held
        # After a gap another one may have held it meanwhile.
        if held is not None and asked_s < held.until_s:
            self.held = dataclasses.replace(
                held, fence=share.generation, until_s=until_s
            )
            return
        log.info("duty_gained", wait_s=self.wait_s, fence=share.generation)
        now_s = self.clock()
        self.held = Held(share.generation, now_s, now_s + self.wait_s, until_s)
