from __future__ import annotations

import msgpack
import pytest

from briarseam.discovery import restarts
from briarseam.discovery import starts
from tests import clocks


class Registry:
    """Knows one start of each endpoint, the newest."""

    def __init__(self):
        self.seen = set()

    def apply_start(self, start):
        is_new = start not in self.seen
        self.seen.add(start)
        return is_new


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def made(clock):
    return restarts.Restarts(Registry(), clock)


def test_restart_is_told_for_some_heartbeats(made, clock):
    made.record(starts.Start("a", 6))
    clock.now_s += restarts.TELL_S - 0.1
    assert msgpack.unpackb(made.provide()) == [["a", 6]]
    clock.now_s += 0.1
    assert msgpack.unpackb(made.provide()) == []


def test_restart_that_was_known_is_not_told(made):
    made.record(starts.Start("a", 6))
    made.record(starts.Start("a", 6))
    assert msgpack.unpackb(made.provide()) == [["a", 6]]


def test_restart_that_a_peer_told_is_not_told_on(made):
    """Told on, it would go round among peers for ever."""
    made.consume("peer", msgpack.packb([("a", 6)]))
    assert made.registry.seen == {starts.Start("a", 6)}
    assert msgpack.unpackb(made.provide()) == []
