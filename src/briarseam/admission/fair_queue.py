"""Start-time fair queueing over organisations, then priority and deadline.

Each organisation has a virtual time that moves on by the cost of what it
was served, over its weight.  Whoever is behind is served next, so a burst
of one organisation waits behind itself and not in front of the others.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import typing

MIN_WEIGHT = 1e-6


@dataclasses.dataclass(frozen=True)
class Rank:
    """What orders an organisation's own waiting requests.

    Attributes
    ----------
    priority
        0 high to 9 low.
    deadline_at
        Monotonic time after which a first token is of no use.
    """

    priority: int
    deadline_at: float


Item = typing.TypeVar("Item")


class Lane(typing.Generic[Item]):
    """The waiting requests of one organisation."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, float, int, Item]] = []
        self.finish = 0.0


class FairQueue(typing.Generic[Item]):
    """Waiting requests; not safe for several threads.

    Parameters
    ----------
    weight_of
        Weight of an organisation.
    """

    def __init__(self, weight_of: typing.Callable[[str], float]) -> None:
        self.weight_of = weight_of
        self.lanes: dict[str, Lane[Item]] = {}
        self.virtual = 0.0
        self.sequence = itertools.count()
        self.size = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self.size

    def waiting(self, organisation: str) -> int:
        """Return how many of one organisation's requests wait."""
        lane = self.lanes.get(organisation)
        return len(lane.heap) if lane else 0

    def active(self) -> list[str]:
        """Return the organisations that have requests waiting."""
        return [name for name, lane in self.lanes.items() if lane.heap]

    def push(self, organisation: str, rank: Rank, item: Item) -> None:
        """Let a request wait."""
        lane = self.lanes.setdefault(organisation, Lane())
        entry = (rank.priority, rank.deadline_at, next(self.sequence), item)
        heapq.heappush(lane.heap, entry)
        self.size += 1

    def head(self) -> tuple[str, Item] | None:
        """Return whose turn it is, without taking it out."""
        active = self.active()
        if not active:
            return None
        organisation = min(active, key=self.start_of)
        return organisation, self.lanes[organisation].heap[0][3]

    def start_of(self, organisation: str) -> float:
        """Return the virtual time at which an organisation is served next.

        One that was idle starts at the present and not where it left off:
        saved-up idle time would let it starve the others afterwards.
        """
        return max(self.lanes[organisation].finish, self.virtual)

    def pop(self, organisation: str) -> Item:
        """Take out an organisation's first request."""
        self.size -= 1
        return heapq.heappop(self.lanes[organisation].heap)[3]

    def charge(self, organisation: str, cost_s: float) -> None:
        """Charge an organisation for a run that it was granted.

        Parameters
        ----------
        organisation
            Whose run.
        cost_s
            Slot time of the run.
        """
        lane = self.lanes.setdefault(organisation, Lane())
        weight = max(self.weight_of(organisation), MIN_WEIGHT)
        self.virtual = max(lane.finish, self.virtual)
        lane.finish = self.virtual + cost_s / weight

    def remove(self, organisation: str, item: Item) -> bool:
        """Take out a request that gives up; tell whether it waited."""
        lane = self.lanes.get(organisation)
        if lane is None:
            return False
        kept = [entry for entry in lane.heap if entry[3] is not item]
        if len(kept) == len(lane.heap):
            return False
        heapq.heapify(kept)
        lane.heap = kept
        self.size -= 1
        return True

    def items(self) -> list[tuple[str, Item]]:
        """Return all that wait, in no order."""
        return [
            (name, entry[3])
            for name, lane in self.lanes.items()
            for entry in lane.heap
        ]

    def forget_idle(self) -> None:
        """Drop lanes that are empty and not ahead of the present.

        Without it every organisation ever seen would keep a lane; one that
        is not ahead is served the same with a fresh lane.
        """
        idle = [
            name
            for name, lane in self.lanes.items()
            if not lane.heap and lane.finish <= self.virtual
        ]
        for name in idle:
            del self.lanes[name]
