"""Streams of services whose endpoints run several software versions."""

from __future__ import annotations

import re
import time

import pytest

from briarseam.placement import requests as placements
from briarseam.testing import waiting
from tests.platform import instances
from tests.platform import partition
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


def of_version(streams, version):
    """Return the streams that one version began."""
    return [one for one in streams if one.versions() == {version.encode()}]


def arrived(engines):
    """Return the number of requests that reached any engine."""
    return sum(len(engine.arrived) for engine in every(engines))


def leave(system, nodes, engines):
    """Let engines leave; wait until the instances know."""
    for engine in engines:
        system.write_entry(engine.id, versioned_engines.SERVICE, "draining")
    gone = {engine.id for engine in engines}
    for node in nodes:
        waiting.until(lambda node=node: not gone & served_by(node), TIMEOUT_S)


def served_by(node):
    """Return the engines that an instance uses."""
    serving = node.feeds.registry.serving(versioned_engines.SERVICE)
    return {endpoint.start.name for endpoint in serving}


def test_stream_is_refused_at_once_when_its_software_is_gone(
    cold_system, nodes, engines
):
    """Guards against other software in place of the one that began."""
    streams = of_version(begin(nodes[0], engines), "v1")
    leave(cold_system, nodes, engines["v1"])
    before = arrived(engines)
    start_s = time.monotonic()
    assert take_up(nodes, streams) == 0
    assert time.monotonic() - start_s < 0.5 * len(streams)
    assert {one.statuses[-1] for one in streams} == {503}
    assert arrived(engines) == before


def test_stream_breaks_off_when_no_other_endpoint_runs_its_software(
    cold_system, nodes, engines
):
    """Guards against a resumption within an answer at other software."""
    leave(cold_system, nodes, engines["v1"][1:] + engines["v1.1"][1:])
    streams = begin(nodes[0], engines)
    assert not any(one.complete for one in streams)
    assert mixed(streams) == []


def test_stream_of_unknown_origin_is_refused_at_once(nodes, engines):
    """Guards against a guess of the version that began a stream."""
    stream = versioned_engines.Stream()
    stream.origin, stream.data = "unknown", b"id: 1\ndata: x\n\n"
    start_s = time.monotonic()
    assert [stream.request(node) for node in nodes] == [503] * len(nodes)
    assert time.monotonic() - start_s < 1.0
    assert arrived(engines) == 0


def test_stream_is_taken_up_several_times(nodes, engines):
    """Guards against the last request being taken for the first one."""
    streams = begin(nodes[0], engines)
    set_all(engines, break_streams=1000)
    take_up(nodes, streams)
    set_all(engines, break_streams=0)
    take_up(nodes[1:], streams)
    assert all(one.complete for one in streams)
    assert mixed(streams) == []


def test_stream_goes_on_through_another_instance(nodes, engines):
    """Guards against a version that is lost where requests are relayed."""
    streams = begin(nodes[0], engines)
    with partition.from_endpoints(nodes[1]):
        assert take_up(nodes[1:2], streams) == STREAMS
    assert mixed(streams) == []


def test_resumed_answer_goes_on_through_another_instance(
    nodes, engines, monkeypatch
):
    """Guards against relaying the rest of an answer to other software."""
    cut_off = nodes[0]
    choose = cut_off.chooser.choose

    def choose_once(request):
        if request.partly_answered:
            return placements.Unreachable(2)
        return choose(request)

    monkeypatch.setattr(cut_off.chooser, "choose", choose_once)
    streams = []
    for _ in range(STREAMS):
        set_all(engines, break_streams=0)
        for engine in every(engines):
            engine.set(break_streams=1)
        streams.append(versioned_engines.Stream())
        streams[-1].request(cut_off)
    assert max(len(re.findall(b"id:", one.data)) for one in streams) > 1
    assert mixed(streams) == []


def test_endpoint_that_restarts_with_other_software_continues_no_stream(
    cold_system, nodes, engines
):
    """Guards against an endpoint's name that is taken for its software."""
    streams = of_version(begin(nodes[0], engines), "v1")
    for number, engine in enumerate(engines["v1"]):
        engine.version = "v1.1"
        engine.restart(born=1_700_000_000_000 + number)
        cold_system.write_entry(engine.id, versioned_engines.SERVICE)
    for node in nodes:
        waiting.until(
            lambda node=node: (
                {one.software for one in node.feeds.registry.all()} == {"v1.1"}
            ),
            TIMEOUT_S,
        )
    assert take_up(nodes, streams) == 0
    assert mixed(streams) == []


def test_stream_that_is_not_resumable_goes_anywhere(nodes, engines):
    """Guards against a limit on requests that run from their beginning."""
    stream = versioned_engines.Stream()
    stream.origin, stream.data = "unknown", b"id: 0\n\n"
    assert stream.request(nodes[0], "/draft/once/x") == 200


def test_name_of_a_stream_that_is_too_long_is_refused(nodes, engines):
    stream = versioned_engines.Stream()
    stream.origin = "x" * 1000
    assert stream.request(nodes[0]) == 400
    assert arrived(engines) == 0


def test_stream_of_an_endpoint_whose_software_is_not_sure_is_not_resumed(
    nodes, engines, monkeypatch
):
    """Guards against joining a run to one of a version that was not known."""
    monkeypatch.setattr(
        nodes[0].feeds.registry, "software_of", lambda endpoint: None
    )
    streams = begin(nodes[0], engines)
    assert mixed(streams) == []
    monkeypatch.undo()
    assert take_up(nodes, streams) == 0
    assert {one.statuses[-1] for one in streams} == {503}


def test_run_of_an_endpoint_that_turns_out_to_have_restarted_ends(
    nodes, engines, monkeypatch
):
    """Guards against a restart that shows between a send and its events."""
    streams = begin(nodes[0], engines)
    before = [one.data for one in streams]
    for node in nodes:
        monkeypatch.setattr(
            node.feeds.registry, "software_of", lambda endpoint: None
        )
    assert take_up(nodes, streams) == 0
    assert [one.data for one in streams] == before
