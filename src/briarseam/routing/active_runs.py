"""Active runs of this agent, used to correct lagging load reports."""

from __future__ import annotations

import collections
import dataclasses
import threading
import typing

MAX_ENDED = 256


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """A run that this agent sent to an endpoint.

    Attributes
    ----------
    run_id
        Id of the run.
    at
        Monotonic time of the grant, in seconds.
    recompute_pieces
        Pieces that the endpoint is expected to compute.
    """

    run_id: str
    at: float
    recompute_pieces: float


@dataclasses.dataclass
class EndpointRuns:
    """Active and recently ended runs of one endpoint."""

    active: dict[str, Dispatch] = dataclasses.field(default_factory=dict)
    ended_at: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ENDED)
    )


class ActiveRuns:
    """Runs of this agent at all endpoints; thread-safe."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointRuns] = {}
        self.lock = threading.Lock()

    def start(self, endpoint: str, dispatch: Dispatch) -> None:
        """Record the start of a run."""
        with self.lock:
            runs = self.endpoints.setdefault(endpoint, EndpointRuns())
            runs.active[dispatch.run_id] = dispatch

    def end(self, endpoint: str, run_id: str, now: float) -> Dispatch | None:
        """Record the end of a run; ``None`` if it is not active."""
        with self.lock:
            runs = self.endpoints.get(endpoint)
            if runs is None:
                return None
            dispatch = runs.active.pop(run_id, None)
            if dispatch is not None:
                runs.ended_at.append(now)
            return dispatch

    def get(self, endpoint: str, run_id: str) -> Dispatch | None:
        """Return an active run."""
        runs = self.endpoints.get(endpoint)
        return runs.active.get(run_id) if runs else None

    def count(self, endpoint: str) -> int:
        """Return the number of active runs at an endpoint."""
        runs = self.endpoints.get(endpoint)
        return len(runs.active) if runs else 0

    def change_since(self, endpoint: str, since: float) -> int:
        """Return the starts minus the ends since a monotonic time."""
        with self.lock:
            runs = self.endpoints.get(endpoint)
            if runs is None:
                return 0
            started = sum(1 for one in runs.active.values() if one.at >= since)
            # A run that started before the report and ended after it has
            # freed a slot that the report shows as taken.  A run that
            # started and ended after the report is counted as an end only,
            # since it is no longer in ``active``, which makes the result too
            # low by one.
            return started - count_since(runs.ended_at, since)

    def keep_only(self, endpoints: typing.Container[str]) -> None:
        """Drop all other endpoints that have no active runs."""
        with self.lock:
            removed = [
                name
                for name, runs in self.endpoints.items()
                if name not in endpoints and not runs.active
            ]
            for name in removed:
                del self.endpoints[name]

    def counts(self) -> dict[str, int]:
        """Return the number of active runs by endpoint, without idle ones."""
        with self.lock:
            return {
                name: len(runs.active)
                for name, runs in self.endpoints.items()
                if runs.active
            }


def count_since(times: collections.deque[float], since: float) -> int:
    """Return how many of the times, which ascend, are at or after ``since``.

    Iterates from the end: each choice calls this for many engines, and all
    but the last few times are before ``since``.
    """
    count = 0
    for at in reversed(times):
        if at < since:
            break
        count += 1
    return count
