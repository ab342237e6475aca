"""Requests of instances to endpoints whose answers say that they leave."""

from __future__ import annotations

import pytest

STREAMS = 12


def call(system, number=0):
    return system.call(f"/status/{number}", "GET").status


def arrivals(system, *names):
    return sum(len(system.workers[name].arrived) for name in names)


@pytest.mark.parametrize("kind", ["call", "prompt"])
def test_endpoint_that_leaves_by_its_answers_gets_no_more(system, kind):
    """Guards against an entry that says ready while the store is away."""
    names = {
        "call": ("plain-1", "plain-2"),
        "prompt": ("engine-1", "engine-2"),
    }[kind]
    send = {
        "call": lambda number: call(system, number),
        "prompt": lambda number: (
            system.stream("/draft/x", Prefix_Hash=f"a{number}:1000").status
        ),
    }[kind]
    system.store.set(outage=True)
    leaving = system.workers[names[0]]
    leaving.set(leaving=True)
    statuses = [send(number) for number in range(STREAMS)]
    assert set(statuses) == {200}
    assert len(leaving.arrived) == 1
    assert arrivals(system, names[1]) == STREAMS - 1
