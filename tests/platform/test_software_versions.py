"""Streams of services whose endpoints run several software versions."""

from __future__ import annotations

import concurrent.futures
import re
import time

import pytest

from briarseam.feeds import records
from briarseam.origins import origin_records
from briarseam.placement import requests as placements
from briarseam.testing import waiting
from tests.platform import instances
from tests.platform import partition
from tests.platform import versioned_engines

TIMEOUT_S = 10
EVENTS = 4
# Events of streams that run until all instances are killed.
LONG_EVENTS = 1000
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


def kill_all(nodes, engines):
    """Return streams that run until all instances are killed at once."""
    set_all(engines, events=LONG_EVENTS, pause_ms=20)
    streams = [versioned_engines.Stream() for _ in range(STREAMS)]
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
        for number, stream in enumerate(streams):
            callers.submit(stream.request, nodes[number % len(nodes)])
        waiting.until(
            lambda: all(stream.origin for stream in streams), TIMEOUT_S
        )
        waiting.until(
            lambda: not any(node.origin_records.unwritten for node in nodes),
            TIMEOUT_S,
        )
        for node in nodes:
            node.in_flight.close(0.0)
            node.stop(0.0)
    set_all(engines, pause_ms=0)
    assert not any(stream.complete for stream in streams)
    return streams


def come_back(system):
    """Start all instances again, with nothing in their memory."""
    system.start()
    return instances.start_others(system, 2)


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


def test_stream_goes_on_after_all_instances_were_killed(
    cold_system, nodes, engines
):
    """Guards against a version that only killed instances knew."""
    streams = kill_all(nodes, engines)
    versions = {version for one in streams for version in one.versions()}
    assert versions == {b"v1", b"v1.1"}
    assert take_up(come_back(cold_system), streams) == STREAMS
    assert mixed(streams) == []


def test_stream_is_not_joined_after_a_kill_once_its_software_is_gone(
    cold_system, nodes, engines
):
    """Guards against other software, the only one that instances find."""
    streams = kill_all(nodes, engines)
    for engine in engines["v1"]:
        cold_system.write_entry(
            engine.id, versioned_engines.SERVICE, "draining"
        )
    took_up = take_up(come_back(cold_system), streams)
    assert took_up == len(of_version(streams, "v1.1"))
    assert mixed(streams) == []


def test_stream_is_refused_after_a_kill_if_its_record_was_lost(
    cold_system, nodes, engines
):
    """Guards against a guess where the store lacks the newest records."""
    before = cold_system.store.copy()
    streams = kill_all(nodes, engines)
    cold_system.store.restore(before)
    assert take_up(come_back(cold_system), streams) == 0
    assert {one.statuses[-1] for one in streams} == {503}
    assert mixed(streams) == []


def test_stream_that_its_caller_has_received_is_not_recorded(
    cold_system, nodes, engines
):
    """Guards against a priced call for streams that have ended."""
    for node in nodes:
        waiting.until(node.origin_records.loaded.is_set, TIMEOUT_S)
    streams = [versioned_engines.Stream() for _ in range(STREAMS)]
    assert take_up(nodes, streams) == STREAMS
    waiting.until(
        lambda: not any(node.origin_records.running for node in nodes),
        TIMEOUT_S,
    )


def refuse_to_load(self):
    """Fail as if the topic could not be read."""
    raise records.StoreUnavailableError("the topic is away")


def is_otherwise_ready(node):
    """Return whether an instance is ready but for origins of streams."""
    return (
        node.feeds.operators.current() is not None
        and len(node.feeds.registry.all()) == 4
        and not node.weights.goal_times.must_wait()
        and node.crashes.records.is_settled()
    )


def test_instance_is_not_ready_before_the_records_are_read(
    cold_system, engines, monkeypatch
):
    """Guards against take-ups that come before the records do."""
    monkeypatch.setattr(origin_records, "MAX_WAIT_S", 1000.0)
    cold_system.configure()
    with monkeypatch.context() as patched:
        patched.setattr(origin_records.OriginRecords, "load", refuse_to_load)
        node = cold_system.launch()
        waiting.until(lambda: is_otherwise_ready(node), TIMEOUT_S)
        assert not node.is_ready()
    waiting.until(node.is_ready, TIMEOUT_S)


def test_instance_gets_ready_though_the_records_can_not_be_read(
    cold_system, engines, monkeypatch
):
    """Guards against an outage of one topic that ends all service."""
    monkeypatch.setattr(origin_records.OriginRecords, "load", refuse_to_load)
    cold_system.configure()
    node = cold_system.launch()
    waiting.until(lambda: is_otherwise_ready(node), TIMEOUT_S)
    waiting.until(node.is_ready, origin_records.MAX_WAIT_S + 1)
    assert versioned_engines.Stream().request(node) == 200


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
