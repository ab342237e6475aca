"""Streams at an instance that has not read which endpoints have joined."""

from __future__ import annotations

import contextlib
import threading
import time

import pytest

from briarseam import clocks
from briarseam.discovery import software
from briarseam.testing import waiting
from tests.platform import instances
from tests.platform import partition
from tests.platform import versioned_engines

TIMEOUT_S = 10
LOOKBACK_S = 1.0
STREAMS = 3
EVENTS = 4
SERVICE = versioned_engines.SERVICE
ENTRIES = "keyed.servers"
# Nothing listens there.
NOBODY = "127.0.0.1:1"


@pytest.fixture
def old(cold_system, monkeypatch):
    """Two engines of the version that has run alone for long."""
    monkeypatch.setattr(software, "LOOKBACK_S", LOOKBACK_S)
    return add(cold_system, "v1")


@pytest.fixture
def nodes(cold_system, old):
    """Three instances that know the only version."""
    cold_system.configure()
    cold_system.start()
    nodes = instances.start_others(cold_system, 2)
    await_complete(nodes)
    return nodes


def add(system, version):
    """Start two engines of a version."""
    added = versioned_engines.add(system, version, 2)
    for engine in added:
        engine.set(events=EVENTS)
    return added


def await_complete(nodes):
    """Wait until instances know all versions of the last time."""
    waiting.until(
        lambda: all(node.software.is_complete(SERVICE) for node in nodes),
        TIMEOUT_S,
    )


def release(system, nodes):
    """Add engines of a new version; wait until instances know them."""
    added = add(system, "v1.1")
    await_endpoints(nodes, {engine.id for engine in added})
    return added


def await_endpoints(nodes, names):
    """Wait until instances know endpoints."""
    waiting.until(
        lambda: all(
            names
            <= {one.start.name for one in node.feeds.registry.serving(SERVICE)}
            for node in nodes
        ),
        TIMEOUT_S,
    )


def begin(node, engines):
    """Return streams that broke off at engines after their first events."""
    for engine in engines:
        engine.set(break_streams=1000)
    begun = []
    while len(begun) < STREAMS:
        node.chooser.avoided.by_id.clear()
        stream = versioned_engines.Stream()
        stream.request(node)
        if not stream.complete and stream.origin:
            begun.append(stream)
    for engine in engines:
        engine.set(break_streams=0)
    node.chooser.avoided.by_id.clear()
    return begun


def forget_origins(nodes):
    """Let no instance know where streams began, as after some minutes."""
    for node in nodes:
        node.origins.known.origins.clear()


def take_up(node, streams):
    """Take streams up at one instance; return the last statuses."""
    return [stream.request(node) for stream in streams]


def assert_refused(node, streams):
    """Check that streams are refused as not run, and not continued."""
    assert take_up(node, streams) == [503] * len(streams)
    assert [one.versions() for one in streams] == [{b"v1.1"}] * len(streams)


def lose_store(node):
    """Let the store be out of reach of one instance."""
    node.store.move_to(NOBODY)
    waiting.until(lambda: not node.feeds.endpoint_reads.available, TIMEOUT_S)


@contextlib.contextmanager
def suspended(node, monkeypatch):
    """Let an instance know only what it knew before; peers go on."""
    resume = threading.Event()
    follower = node.feeds.endpoint_reads
    deliver = follower.deliver

    def deliver_late(apply, batch):
        resume.wait(TIMEOUT_S)
        deliver(apply, batch)

    monkeypatch.setattr(follower, "deliver", deliver_late)
    try:
        with partition.from_origins(node):
            yield
    finally:
        resume.set()
        monkeypatch.setattr(follower, "deliver", deliver)


def test_instance_without_store_and_peers_continues_no_unknown_stream(
    cold_system, nodes
):
    """Guards against a version that joined while an instance was cut off."""
    lose_store(nodes[0])
    with partition.from_origins(nodes[0]):
        added = release(cold_system, nodes[1:])
        assert_refused(nodes[0], begin(nodes[1], added))


def test_instance_without_store_continues_no_stream_that_peers_forgot(
    cold_system, nodes
):
    """Guards against peers that answer but do not know a stream."""
    lose_store(nodes[0])
    added = release(cold_system, nodes[1:])
    streams = begin(nodes[1], added)
    forget_origins(nodes)
    assert_refused(nodes[0], streams)


def test_instance_without_store_learns_from_peers_where_streams_began(
    cold_system, nodes
):
    """Guards against the only version that a cut-off instance has read."""
    lose_store(nodes[0])
    added = release(cold_system, nodes[1:])
    streams = begin(nodes[1], added)
    take_up(nodes[0], streams)
    assert [one.versions() for one in streams] == [{b"v1.1"}] * STREAMS


def test_instance_without_peers_continues_no_unknown_stream(
    cold_system, nodes
):
    """Guards against two versions at an instance that only the store tells."""
    with partition.from_origins(nodes[0]):
        added = release(cold_system, nodes)
        assert_refused(nodes[0], begin(nodes[1], added))


def test_suspended_instance_continues_no_unknown_stream_as_it_resumes(
    cold_system, nodes, monkeypatch
):
    """Guards against requests that are handled before entries are read."""
    with suspended(nodes[0], monkeypatch):
        added = release(cold_system, nodes[1:])
        streams = begin(nodes[1], added)
        assert_refused(nodes[0], streams)


def test_read_that_was_in_progress_at_a_suspension_does_not_count(
    cold_system, nodes, monkeypatch
):
    """Guards against a read that ended before the new version joined."""
    follower = nodes[0].feeds.endpoint_reads
    read = follower.store.read_keyed
    held = threading.Event()
    release_read = threading.Event()

    def read_late(topic, start, wait_s):
        batch = read(topic, start, wait_s)
        if topic == ENTRIES and not release_read.is_set():
            held.set()
            release_read.wait(TIMEOUT_S)
        return batch

    monkeypatch.setattr(follower.store, "read_keyed", read_late)
    assert held.wait(TIMEOUT_S)
    with partition.from_origins(nodes[0]):
        added = release(cold_system, nodes[1:])
        streams = begin(nodes[1], added)
        # The delayed answer arrives while the first request is waiting.
        timer = threading.Timer(0.3, release_read.set)
        timer.start()
        assert_refused(nodes[0], streams)
        timer.join()


def test_instance_that_has_just_started_continues_no_unknown_stream(
    cold_system, nodes
):
    """Guards against an instance that saw nothing of a release."""
    late = cold_system.launch_another("late")
    waiting.until(late.is_ready, TIMEOUT_S)
    await_complete([late])
    lose_store(late)
    with partition.from_origins(late):
        added = release(cold_system, nodes)
        assert_refused(late, begin(nodes[1], added))


def test_time_without_the_store_does_not_count_for_a_new_instance(
    cold_system, nodes
):
    """Guards against one read that is taken for a minute of reading."""
    late = cold_system.launch_another("late")
    waiting.until(late.is_ready, TIMEOUT_S)
    await_endpoints([late], {"engine-v1-0"})
    lose_store(late)
    await_complete([late])
    with partition.from_origins(late):
        added = release(cold_system, nodes)
        assert_refused(late, begin(nodes[1], added))


def test_version_whose_entries_were_dropped_unread_is_not_overlooked(
    cold_system, nodes
):
    """Guards against a version that came and went while unread."""
    address = str(cold_system.store.address)
    lose_store(nodes[0])
    added = release(cold_system, nodes[1:])
    streams = begin(nodes[1], added)
    for engine in added:
        cold_system.store.write(ENTRIES, engine.id, None)
    cold_system.store.forget(ENTRIES)
    forget_origins(nodes)
    follower = nodes[0].feeds.endpoint_reads
    nodes[0].store.move_to(address)
    before_s = clocks.boot_clock()
    waiting.until(
        lambda: follower.available and follower.complete_until_s > before_s,
        TIMEOUT_S,
    )
    assert_refused(nodes[0], streams)


def test_version_whose_entries_have_just_lapsed_counts(cold_system, nodes):
    """Guards against entries that lapse in an outage of the store."""
    added = release(cold_system, nodes)
    streams = begin(nodes[1], added)
    time.sleep(LOOKBACK_S)
    forget_origins(nodes)
    for engine in added:
        cold_system.store.write(ENTRIES, engine.id, None)
    registry = nodes[0].feeds.registry
    waiting.until(lambda: len(registry.all()) == 2, TIMEOUT_S)
    assert_refused(nodes[0], streams)


def test_suspended_instance_does_not_know_restarted_software(
    cold_system, nodes, old, monkeypatch
):
    """Guards against a name whose software changed during a suspension."""
    for number, engine in enumerate(old):
        engine.restart(born=1_600_000_000_000 + number)
        cold_system.write_entry(engine.id, SERVICE)
    await_births(nodes)
    streams = begin(nodes[0], old)
    with suspended(nodes[0], monkeypatch):
        nodes[0].suspension.stop()
        for number, engine in enumerate(old):
            engine.version = "v1.1"
            engine.restart(born=1_700_000_000_000 + number)
        # As right after a suspension of two seconds.
        nodes[0].suspension.ticked_s = clocks.boot_clock() - 2.0
        assert take_up(nodes[0], streams) == [503] * STREAMS
    assert [one.versions() for one in streams] == [{b"v1"}] * STREAMS


def await_births(nodes):
    """Wait until instances know when the endpoints started."""
    waiting.until(
        lambda: all(
            one.start.born_ms > 0
            for node in nodes
            for one in node.feeds.registry.all()
        ),
        TIMEOUT_S,
    )


def test_answer_is_not_resumed_at_a_version_that_joined(cold_system, nodes):
    """Guards against the rest of an answer from software that joined."""
    lose_store(nodes[0])
    with partition.from_origins(nodes[0]):
        release(cold_system, nodes[1:])
        for engine in cold_system.workers.values():
            engine.set(break_streams=1)
        streams = [versioned_engines.Stream() for _ in range(STREAMS)]
        take_up(nodes[0], streams)
        assert [one.versions() for one in streams] == [{b"v1"}] * STREAMS


def test_sound_instances_continue_unknown_streams_of_the_only_version(
    nodes, old
):
    """Guards against streams that are refused without a release."""
    streams = begin(nodes[1], old)
    forget_origins(nodes)
    for node, stream in zip(nodes, streams, strict=True):
        assert stream.request(node) == 200
    assert all(one.complete for one in streams)


def test_unknown_streams_go_on_after_an_outage_of_the_store(
    cold_system, nodes, old
):
    """Guards against refusals that outlast an outage."""
    streams = begin(nodes[1], old)
    cold_system.store.set(outage=True)
    waiting.until(
        lambda: not any(one.feeds.endpoint_reads.available for one in nodes),
        TIMEOUT_S,
    )
    forget_origins(nodes)
    assert streams[0].request(nodes[0]) == 503
    cold_system.store.set(outage=False)
    waiting.until(
        lambda: all(one.feeds.endpoint_reads.available for one in nodes),
        TIMEOUT_S,
    )
    for node, stream in zip(nodes, streams, strict=True):
        assert stream.request(node) == 200
