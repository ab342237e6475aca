"""Choosing among endpoints without a model."""

from __future__ import annotations

import random
import typing

from briarseam.placement import loads as load_module
from briarseam.placement import queue_time
from briarseam.placement import requests

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery

# Share of a route's target latency that the estimated answer may take; the
# rest covers load that is not known yet.
QUEUE_TARGET_SHARE = 0.8


class PlainChooser:
    """Chooses the endpoint for requests without a prompt; thread-safe.

    Parameters
    ----------
    loads
        Load of endpoints.
    """

    def __init__(self, loads: load_module.Loads) -> None:
        self.loads = loads
        self.queue_times: dict[str, queue_time.QueueTime] = {}

    def choose(
        self, request: requests.Request, candidates: list[discovery.Endpoint]
    ) -> discovery.Endpoint | requests.QueueFull:
        """Return the endpoint with the fewest requests per slot.

        A request is not placed behind a queue that would answer it late: in
        an overload all answers would be late, and no caller would be served
        better.
        """
        best = min(
            candidates,
            key=lambda endpoint: (
                self.loads.of(endpoint.id).requests / endpoint.slots,
                random.random(),
            ),
        )
        before = self.loads.of(best.id).requests
        if before < best.slots:
            return best
        times = self.queue_time_of(request.service.name)
        expected_s = times.seconds(before, best.slots)
        target_s = request.route.target_latency_s
        if expected_s > target_s * QUEUE_TARGET_SHARE > 0:
            return requests.QueueFull(expected_s, target_s)
        return best

    def queue_time_of(self, service: str) -> queue_time.QueueTime:
        """Return the estimate of a service's time to answer."""
        # If two threads get here at once, the first one's object stays.
        return self.queue_times.setdefault(service, queue_time.QueueTime())

    def record_answer(
        self,
        placement: requests.Placement,
        request: requests.Request,
        took_s: float,
    ) -> None:
        """Update the estimate with the time to a complete answer."""
        self.queue_time_of(request.service.name).record(
            placement.load.requests, placement.endpoint.slots, took_s
        )
