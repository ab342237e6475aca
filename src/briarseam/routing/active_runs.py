"""Runs that this agent has under way, to correct lagging load reports."""

from __future__ import annotations

import collections
import dataclasses
import threading
import typing

MAX_ENDED = 256


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """One run that this agent sent to an endpoint.

    Attributes
    ----------
    run_id
        The run.
    at
        Monotonic time of the grant, in seconds.
    recompute_pieces
        Pieces the endpoint is expected to compute.
    """

    run_id: str
    at: float
    recompute_pieces: float


@dataclasses.dataclass
class EndpointRuns:
    """Runs of one endpoint."""

    running: dict[str, Dispatch] = dataclasses.field(default_factory=dict)
    ended_at: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ENDED)
    )


class ActiveRuns:
    """Runs of all endpoints; safe for several threads."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointRuns] = {}
        self.lock = threading.Lock()

    def start(self, endpoint: str, dispatch: Dispatch) -> None:
        """Count a run in."""
        with self.lock:
            runs = self.endpoints.setdefault(endpoint, EndpointRuns())
            runs.running[dispatch.run_id] = dispatch

    def end(self, endpoint: str, run_id: str, now: float) -> Dispatch | None:
        """Count a run out; ``None`` when it was counted out before."""
        with self.lock:
            runs = self.endpoints.get(endpoint)
            if runs is None:
                return None
            dispatch = runs.running.pop(run_id, None)
            if dispatch is not None:
                runs.ended_at.append(now)
            return dispatch

    def get(self, endpoint: str, run_id: str) -> Dispatch | None:
        """Return a run that is under way."""
        runs = self.endpoints.get(endpoint)
        return runs.running.get(run_id) if runs else None

    def outstanding(self, endpoint: str) -> int:
        """Return how many runs are under way at an endpoint."""
        runs = self.endpoints.get(endpoint)
        return len(runs.running) if runs else 0

    def change_since(self, endpoint: str, since: float) -> int:
        """Return starts less ends after a monotonic time."""
        with self.lock:
            runs = self.endpoints.get(endpoint)
            if runs is None:
                return 0
            started = sum(
                1 for one in runs.running.values() if one.at >= since
            )
            # Runs that began before and ended after the report took a
            # place there that is free by now.  Runs that did both after it
            # never showed and cancel out of both sums but for their start,
            # which is no longer in ``running``; the bound is one sided and
            # errs towards more load.
            return started - count_since(runs.ended_at, since)

    def keep(self, endpoints: typing.Container[str]) -> None:
        """Drop endpoints that are gone and have nothing under way."""
        with self.lock:
            gone = [
                name
                for name, runs in self.endpoints.items()
                if name not in endpoints and not runs.running
            ]
            for name in gone:
                del self.endpoints[name]

    def counts(self) -> dict[str, int]:
        """Return runs under way by endpoint, without idle endpoints."""
        with self.lock:
            return {
                name: len(runs.running)
                for name, runs in self.endpoints.items()
                if runs.running
            }


def count_since(times: collections.deque[float], since: float) -> int:
    """Return how many times are not before ``since``; latest last.

    Counted from the end: every choice asks this of many engines, and all
    but the last few times are long past.
    """
    count = 0
    for at in reversed(times):
        if at < since:
            break
        count += 1
    return count
