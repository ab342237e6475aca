"""Streams that endpoints break off, through another instance."""

from __future__ import annotations

import pytest

from tests.platform import instances
from tests.platform import partition
from tests.platform import raw_answers
from tests.platform import raw_caller
from tests.platform import system as systems

ENGINES = ("engine-1", "engine-2")
CUT = raw_answers.Form(
    raw_answers.Framing.CONNECTION, cut=raw_answers.Cut.IN_LATER_EVENT
)


@pytest.fixture
def cut_off(system):
    """An instance without a path to endpoints, beside one that has it."""
    node, _other = instances.start_others(system, 1)
    with partition.from_endpoints(node):
        yield node


def receive(system, node, path, cuts):
    """Return the answer to a request whose first runs are cut short."""
    left = [True] * cuts
    for name in ENGINES:
        system.workers[name].takes_cut = lambda: bool(left and left.pop())
        system.workers[name].set(
            framing=CUT.framing, cut_at=CUT.cut, cut_by=CUT.ending
        )
    headers = systems.callers_headers(systems.KEY, systems.PROMPT)
    return raw_caller.send(
        str(node.settings.listen.callers), "POST", path, headers
    )


def runs(system):
    """Return how often engines ran a request."""
    return sum(len(system.workers[name].ran) for name in ENGINES)


def test_broken_stream_is_broken_off_through_a_peer(system, cut_off):
    """Guards against a peer that hides the break, and against a second run."""
    received = receive(system, cut_off, "/draft/once/x", cuts=1)
    assert received.body == system.workers["engine-1"].event(1)
    assert not received.complete
    assert runs(system) == 1


def test_broken_stream_is_resumed_by_a_peer(system, cut_off):
    received = receive(system, cut_off, "/draft/x", cuts=1)
    worker = system.workers["engine-1"]
    assert received.body == b"".join(map(worker.event, (1, 2, 3)))
    assert received.complete
    assert runs(system) == 2
