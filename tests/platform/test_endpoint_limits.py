"""Requests of instances to endpoints that name a limit in their answers."""

from __future__ import annotations

import time

from briarseam.testing import waiting
from tests.platform import system as systems

TIMEOUT_S = 10
LIMIT_PER_S = 2.0
# The bound on what reaches such an endpoint in a span from all instances.
FACTOR = 1.5
SLACK = 5.0
SPAN_S = 4.0
# Time after which the limit must be kept, from the first answer that named it.
SETTLE_S = 3.0


def call(system, node, number):
    """Send a request to an instance; return the status of its answer."""
    return system.http.request(
        "GET",
        f"http://{node.settings.listen.callers}/status/{number}",
        headers={
            "Host": systems.HOST,
            "Request-Id": f"r{time.monotonic_ns()}",
            "Authorization": f"Bearer {systems.KEY}",
        },
    ).status


def start_others(system, count):
    """Start further instances; return all, joined to each other."""
    nodes = [system.node]
    nodes += [
        system.launch_another(f"other-{number}") for number in range(count)
    ]
    waiting.until(
        lambda: all(
            node.is_ready()
            and len(node.instances.all()) == len(nodes)
            and node.feeds.registry.all()
            for node in nodes
        ),
        TIMEOUT_S,
    )
    return nodes


def test_endpoint_gets_no_more_than_its_limit_from_all_instances(system):
    """Guards against instances that ignore a limit, or each use all of it."""
    nodes = start_others(system, 2)
    limited = system.workers["plain-1"]
    limited.set(limit=str(LIMIT_PER_S))
    start_s = time.monotonic()
    statuses = []
    while time.monotonic() < start_s + SETTLE_S + SPAN_S:
        statuses += [call(system, node, len(statuses)) for node in nodes]
        time.sleep(0.05)
    settled_s = start_s + SETTLE_S
    arrived = [at for at in limited.arrived_s if at >= settled_s]
    assert set(statuses) == {200}
    assert 0 < len(arrived) <= FACTOR * LIMIT_PER_S * SPAN_S + SLACK
