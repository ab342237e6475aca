from __future__ import annotations

import pytest

from briarseam.discovery import model
from briarseam.reachability import tracker
from tests import clocks


class Endpoints:
    """Endpoints of services, and those to which connections fail."""

    def __init__(self):
        self.by_service = {}
        self.cut_off = set()
        self.probed = []

    def add(self, service, count):
        """Add endpoints of a service; return them."""
        made = [
            model.Endpoint(f"{service}-{n}", service, f"10.0.0.{n}:1", "a", 8)
            for n in range(count)
        ]
        self.by_service[service] = made
        return made

    def of(self, service):
        """Return the endpoints of a service."""
        return list(self.by_service.get(service, []))

    def cut(self, *services):
        """Let connections to all endpoints of some services fail."""
        for service in services:
            self.cut_off |= {one.id for one in self.of(service)}

    def can_connect(self, endpoint):
        """Return whether a connection succeeds."""
        self.probed.append(endpoint.id)
        return endpoint.id not in self.cut_off


@pytest.fixture
def endpoints():
    return Endpoints()


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def reachability(endpoints, clock):
    return tracker.Reachability(endpoints.of, clock)
