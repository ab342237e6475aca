"""Start-time fair queueing over organisations, then priority and deadline.

Each organisation is a flow.  A grant advances the flow's finish tag by its
cost divided by the organisation's weight, and the backlogged flow with the
smallest start tag is served next, so a burst of one organisation delays only
its own requests.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import typing

MIN_WEIGHT = 1e-6


@dataclasses.dataclass(frozen=True)
class Rank:
    """Sort key of the queued requests of one organisation.

    Attributes
    ----------
    priority
        0 (high) to 9 (low).
    deadline_at
        Monotonic time by which the first token is needed.
    """

    priority: int
    deadline_at: float


Item = typing.TypeVar("Item")


class Flow(typing.Generic[Item]):
    """The queued requests of one organisation."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, float, int, Item]] = []
        self.finish_tag = 0.0


class FairQueue(typing.Generic[Item]):
    """Queued requests of all organisations; not thread-safe.

    Parameters
    ----------
    weight_of
        Returns the weight of an organisation.
    """

    def __init__(self, weight_of: typing.Callable[[str], float]) -> None:
        self.weight_of = weight_of
        self.flows: dict[str, Flow[Item]] = {}
        self.virtual_time = 0.0
        self.sequence = itertools.count()
        self.size = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self.size

    def queued_count(self, organisation: str) -> int:
        """Return the number of queued requests of one organisation."""
        flow = self.flows.get(organisation)
        return len(flow.heap) if flow else 0

    def backlogged(self) -> list[str]:
        """Return the organisations that have queued requests."""
        return [name for name, flow in self.flows.items() if flow.heap]

    def push(self, organisation: str, rank: Rank, item: Item) -> None:
        """Queue a request."""
        flow = self.flows.setdefault(organisation, Flow())
        entry = (rank.priority, rank.deadline_at, next(self.sequence), item)
        heapq.heappush(flow.heap, entry)
        self.size += 1

    def head(self) -> tuple[str, Item] | None:
        """Return the next request and its organisation; don't remove it."""
        backlogged = self.backlogged()
        if not backlogged:
            return None
        organisation = min(backlogged, key=self.start_tag)
        return organisation, self.flows[organisation].heap[0][3]

    def start_tag(self, organisation: str) -> float:
        """Return the virtual time at which an organisation is served next.

        A flow that was idle starts at the current virtual time and not at
        its finish tag: credit for idle time would let it starve the others.
        """
        return max(self.flows[organisation].finish_tag, self.virtual_time)

    def pop(self, organisation: str) -> Item:
        """Remove and return the first request of an organisation."""
        self.size -= 1
        return heapq.heappop(self.flows[organisation].heap)[3]

    def charge(self, organisation: str, cost_s: float) -> None:
        """Charge an organisation for a granted run.

        Parameters
        ----------
        organisation
            The organisation that the run belongs to.
        cost_s
            Slot time of the run, in seconds.
        """
        flow = self.flows.setdefault(organisation, Flow())
        weight = max(self.weight_of(organisation), MIN_WEIGHT)
        self.virtual_time = max(flow.finish_tag, self.virtual_time)
        flow.finish_tag = self.virtual_time + cost_s / weight

    def remove(self, organisation: str, item: Item) -> bool:
        """Remove a request; return whether it was queued."""
        flow = self.flows.get(organisation)
        if flow is None:
            return False
        remaining = [entry for entry in flow.heap if entry[3] is not item]
        if len(remaining) == len(flow.heap):
            return False
        heapq.heapify(remaining)
        flow.heap = remaining
        self.size -= 1
        return True

    def items(self) -> list[tuple[str, Item]]:
        """Return all queued requests with their organisations, unordered."""
        return [
            (name, entry[3])
            for name, flow in self.flows.items()
            for entry in flow.heap
        ]

    def remove_idle(self) -> None:
        """Remove empty flows whose finish tag is not ahead of virtual time.

        A new flow is served the same as one of these; keeping them would use
        memory for each organisation that ever sent a request.
        """
        idle = [
            name
            for name, flow in self.flows.items()
            if not flow.heap and flow.finish_tag <= self.virtual_time
        ]
        for name in idle:
            del self.flows[name]
