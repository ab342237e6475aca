from __future__ import annotations

import msgpack
import pytest

from briarseam.discovery import start_updates
from briarseam.discovery import starts
from tests import clocks


class Registry:
    """Records the starts that are applied."""

    def __init__(self):
        self.applied = set()

    def apply_start(self, start):
        is_new = start not in self.applied
        self.applied.add(start)
        return is_new


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def registry():
    return Registry()


@pytest.fixture
def recorder(registry, clock):
    return start_updates.StartUpdates(registry.apply_start, clock)


def test_restart_is_published_for_a_limited_time(recorder, clock):
    recorder.record(starts.Start("a", 6))
    clock.now_s += start_updates.PUBLISH_S - 0.1
    assert msgpack.unpackb(recorder.provide()) == [["a", 6]]
    clock.now_s += 0.1
    assert msgpack.unpackb(recorder.provide()) == []


def test_known_restart_is_not_published_again(recorder):
    recorder.record(starts.Start("a", 6))
    recorder.record(starts.Start("a", 6))
    assert msgpack.unpackb(recorder.provide()) == [["a", 6]]


def test_restart_received_from_a_peer_is_not_forwarded(recorder, registry):
    """Guards against restarts that circulate among peers indefinitely."""
    recorder.consume("peer", msgpack.packb([("a", 6)]))
    assert registry.applied == {starts.Start("a", 6)}
    assert msgpack.unpackb(recorder.provide()) == []
