"""Streams of services whose endpoints run several software versions."""

from __future__ import annotations

import pytest

from tests.platform import instances
from tests.platform import versioned_engines

TIMEOUT_S = 10
EVENTS = 4
STREAMS = 12


@pytest.fixture
def engines(cold_system):
    """Two engines of each of two versions."""
    added = {
        version: versioned_engines.add(cold_system, version, 2)
        for version in ("v1", "v1.1")
    }
    for engine in every(added):
        engine.set(events=EVENTS)
    return added


def every(engines):
    """Return the engines of all versions."""
    return [one for group in engines.values() for one in group]


@pytest.fixture
def nodes(cold_system, engines):
    """Three instances."""
    cold_system.configure()
    cold_system.start()
    return instances.start_others(cold_system, 2)


def set_all(engines, **switches):
    """Set switches of all engines."""
    for engine in every(engines):
        engine.set(**switches)


def begin(node, engines, count=STREAMS):
    """Return streams that have been broken off in the middle."""
    set_all(engines, break_streams=1000)
    begun = []
    while len(begun) < count:
        node.chooser.avoided.by_id.clear()
        stream = versioned_engines.Stream()
        stream.request(node)
        if stream.origin:
            begun.append(stream)
    set_all(engines, break_streams=0)
    node.chooser.avoided.by_id.clear()
    return begun


def take_up(nodes, streams):
    """Take streams up at instances in turn; return how many go on."""
    for number, stream in enumerate(streams):
        stream.request(nodes[number % len(nodes)])
    return sum(stream.complete for stream in streams)


def mixed(streams):
    """Return the streams with events of several software versions."""
    return [one for one in streams if len(one.versions()) > 1]


def test_stream_is_resumed_at_the_version_that_began_it(nodes, engines):
    """Guards against events of two software versions in one answer."""
    streams = begin(nodes[0], engines)
    assert mixed(streams) == []


def test_stream_is_taken_up_at_the_version_that_began_it(nodes, engines):
    """Guards against events of two versions over a caller's requests."""
    streams = begin(nodes[0], engines)
    versions = {version for one in streams for version in one.versions()}
    assert versions == {b"v1", b"v1.1"}
    assert take_up(nodes[1:], streams) == STREAMS
    assert mixed(streams) == []


def test_stream_goes_on_after_its_instance_was_lost(nodes, engines):
    """Guards against a version that only a killed instance knew."""
    streams = begin(nodes[0], engines)
    nodes[0].stop()
    assert take_up(nodes[1:], streams) == STREAMS
    assert mixed(streams) == []
