"""Odd records of another writer in all topics that instances read."""

from __future__ import annotations

import json
import struct
import threading
import time

import msgspec

from briarseam.testing import waiting
from tests.platform import system as systems
from tests.platform import test_foreign_entries as foreign

TIMEOUT_S = 15
TOPICS = [
    "keyed.servers",
    "keyed.op",
    "keyed.briarseam-members",
    "keyed.briarseam-weights",
    "keyed.briarseam-crash-records",
    "briarseam-orders",
]
KEYS = [
    b"",
    b"\xff\xfe",
    b"\xed\xa0\x80",
    b"/",
    b"../../config",
    b"a\x00b",
    b"a\r\nHost: x",
    b"x" * 255,
    "\N{SNOWMAN}".encode() * 85,
    b"version/",
    b"version/drafts/",
    b"evacuate/",
    b"evacuate/\x00",
    b"config/",
    b"Config",
    b"plain-1@",
    b"plain-1@" + b"9" * 200,
    b"wire-secret ",
    b"one\x00",
]
THREADS = {
    "crash-records",
    "goal-times",
    "register",
    *(f"follow-{topic}" for topic in TOPICS[:3]),
}
NESTED = b"[" * 100_000
VALUES = [
    b"",
    b"\x00",
    b"\xc1",
    b"{}",
    b"null",
    b"NaN",
    b"1e400",
    b"9" * 6000,
    b'"\\ud800"',
    b'{"version":1e400}',
    b'{"version":%s}' % (b"9" * 6000),
    b'{"version":-1,"routes":[]}',
    b'{"version":9,"routes":[{"name":7}]}',
    b'{"version":9,"x":' + NESTED,
    b'{"model":"drafts","version":%s}' % (b"9" * 30),
    b'{"model":"drafts","version":"2"}',
    b'{"model":"drafts","version":2,"x":' + NESTED,
    b"\x91" * 100_000,
    b"\x96\x90\x90\x90\x00\x90" + b"\x91" * 100_000,
    b"\x96\xa91.2.3.4:5\xa1a\xa1a\x01\xa0" + b"\x91" * 100_000,
    msgspec.msgpack.encode(["1.2.3.4:99999", "a", "b"]),
    msgspec.msgpack.encode(["1.2.3.4:5", "a", "b", float("nan")]),
    msgspec.msgpack.encode(["1.2.3.4:5", "a", "b", 1e308, "x:y"]),
    msgspec.msgpack.encode([[2**53, 0], [2**64 - 1, 0]]),
    msgspec.msgpack.encode([[[b"k", "e", 2**64 - 1]], [], [], 0]),
]
DEADLY_GOAL_TIMES = msgspec.msgpack.encode([[2**53, 0]])


def write(store, topic, key, value):
    """Write a keyed record with any bytes as its key."""
    with store.lock:
        store.topics[topic].append(bytes([len(key)]) + key + value)


def write_all(store):
    """Write each odd value under each odd key that no other code uses."""
    for topic in TOPICS:
        for number, value in enumerate(VALUES):
            write(store, topic, b"odd-%d" % number, value)
        for key in KEYS:
            for value in (b"{}", VALUES[13], b"\xc1"):
                write(store, topic, key, value)
    for key in (b"config", b"version/drafts"):
        for value in VALUES[1:]:
            write(store, "keyed.op", key, value)
    write(store, "keyed.briarseam-weights", b"drafts", DEADLY_GOAL_TIMES)


def assert_sound(system):
    """Assert that endpoints that join are used, and peers are told."""
    system.add_worker("plain-9", "portal")
    for name in list(system.workers):
        if name.startswith("plain-") and name != "plain-9":
            system.write_entry(name, "portal", "draining")
    waiting.until(
        lambda: system.call("/status/x", "GET").data == b"plain-9 did it",
        TIMEOUT_S,
    )
    assert system.stream("/draft/x").status == 200
    assert msgspec.msgpack.decode(system.node.chooser.loads.provide())
    waiting.until(lambda: thread_names() >= THREADS, TIMEOUT_S)


def thread_names():
    return {thread.name for thread in threading.enumerate()}


def test_odd_records_in_all_topics_end_nothing(system):
    """Guards against threads that end, or that stop following a topic."""
    write_all(system.store)
    assert_sound(system)
    assert system.node.feeds.configuration_version() == 1
    assert foreign.count(system, '"operator-document"') > 0


def test_instance_starts_beside_odd_records_in_all_topics(cold_system):
    """Guards against a restart that fails at what running instances skip."""
    write_all(cold_system.store)
    cold_system.add_worker("plain-1", "portal")
    cold_system.add_worker("engine-1", "engines")
    cold_system.configure()
    node = cold_system.launch()
    waiting.until(node.is_ready, TIMEOUT_S)
    waiting.until(
        lambda: foreign.known(cold_system) >= {"plain-1", "engine-1"},
        TIMEOUT_S,
    )
    assert_sound(cold_system)


def test_peers_hear_each_other_among_odd_records(system):
    """Guards against heartbeats that can't be encoded or get no place."""
    write_all(system.store)
    other = system.launch_another("two")
    waiting.until(other.is_ready, TIMEOUT_S)
    waiting.until(
        lambda: set(other.feeds.registrations.by_name) >= {"one", "two"},
        TIMEOUT_S,
    )
    waiting.until(
        lambda: "two" in system.node.instances.fresh_names(), TIMEOUT_S
    )
    assert_sound(system)


def test_many_odd_entries_do_not_delay_sound_ones(system):
    """20,000 odd entries stand before one that changes."""
    odd = [
        b"{}",
        b'{"x":' + b"[" * 2000,
        json.dumps(
            {
                "service": "portal",
                "address": "127.0.0.1:99999",
                "zone": "a",
                "slots": 1,
                "state": "ready",
            }
        ).encode(),
    ]
    with system.store.lock:
        entries = system.store.topics["keyed.servers"]
        for number in range(20_000):
            key = b"odd-%d" % number
            value = odd[number % len(odd)]
            entries.append(struct.pack("B", len(key)) + key + value)
    assert_sound(system)


def test_entry_rewritten_without_a_pause_delays_no_other(system):
    """One endpoint's entry is rewritten hundreds of times a second."""
    stopping = threading.Event()
    written = []

    def rewrite():
        while not stopping.is_set():
            system.write_entry("engine-2", "engines", seq=len(written))
            written.append(time.monotonic())
            stopping.wait(0.002)

    writer = threading.Thread(target=rewrite)
    writer.start()
    used_s = time.process_time()
    try:
        assert_sound(system)
        threading.Event().wait(max(0.0, written[0] + 1 - time.monotonic()))
    finally:
        stopping.set()
        writer.join()
    took_s = written[-1] - written[0]
    assert len(written) / took_s > 100
    assert time.process_time() - used_s < took_s


def test_weights_that_nobody_set_stop_no_requests(system):
    """Guards against one odd row that refuses all requests of a model."""
    write(
        system.store, "keyed.briarseam-weights", b"drafts", DEADLY_GOAL_TIMES
    )
    other = system.launch_another("two")
    waiting.until(other.is_ready, TIMEOUT_S)
    waiting.until(other.weights.goal_times.known.is_set, TIMEOUT_S)
    assert other.weights.required(systems.MODEL) == 0
    assert system.node.weights.required(systems.MODEL) == 0
    assert system.stream("/draft/x").status == 200
