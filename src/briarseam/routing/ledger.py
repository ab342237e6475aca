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
class EndpointLedger:
    """Runs of one endpoint."""

    running: dict[str, Dispatch] = dataclasses.field(default_factory=dict)
    ended_at: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ENDED)
    )


class Ledger:
    """Runs of all endpoints; safe for several threads."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointLedger] = {}
        self.lock = threading.Lock()

    def start(self, endpoint: str, dispatch: Dispatch) -> None:
        """Count a run in."""
        with self.lock:
            ledger = self.endpoints.setdefault(endpoint, EndpointLedger())
            ledger.running[dispatch.run_id] = dispatch

    def end(self, endpoint: str, run_id: str, now: float) -> Dispatch | None:
        """Count a run out; ``None`` when it was counted out before."""
        with self.lock:
            ledger = self.endpoints.get(endpoint)
            if ledger is None:
                return None
            dispatch = ledger.running.pop(run_id, None)
            if dispatch is not None:
                ledger.ended_at.append(now)
            return dispatch

    def get(self, endpoint: str, run_id: str) -> Dispatch | None:
        """Return a run that is under way."""
        ledger = self.endpoints.get(endpoint)
        return ledger.running.get(run_id) if ledger else None

    def outstanding(self, endpoint: str) -> int:
        """Return how many runs are under way at an endpoint."""
        ledger = self.endpoints.get(endpoint)
        return len(ledger.running) if ledger else 0

    def change_since(self, endpoint: str, since: float) -> int:
        """Return starts less ends after a monotonic time."""
        with self.lock:
            ledger = self.endpoints.get(endpoint)
            if ledger is None:
                return 0
            started = sum(
                1 for one in ledger.running.values() if one.at >= since
            )
            # Runs that began before and ended after the report took a
            # place there that is free by now.  Runs that did both after it
            # never showed and cancel out of both sums but for their start,
            # which is no longer in ``running``; the bound is one sided and
            # errs towards more load.
            return started - count_since(ledger.ended_at, since)

    def keep(self, endpoints: typing.Container[str]) -> None:
        """Drop endpoints that are gone and have nothing under way."""
        with self.lock:
            gone = [
                name
                for name, ledger in self.endpoints.items()
                if name not in endpoints and not ledger.running
            ]
            for name in gone:
                del self.endpoints[name]

    def counts(self) -> dict[str, int]:
        """Return runs under way by endpoint, without idle endpoints."""
        with self.lock:
            return {
                name: len(ledger.running)
                for name, ledger in self.endpoints.items()
                if ledger.running
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
