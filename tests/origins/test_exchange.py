from __future__ import annotations

import contextlib
import threading
import time

import pytest

from briarseam import malformed
from briarseam.origins import exchange
from briarseam.origins import memory
from briarseam.testing import ports
from briarseam.testing import waiting

KEY = b"k" * 32
ORIGIN = memory.Origin("engines", "v1")
COUNT = 8
STREAMS = [f"stream-{number}" for number in range(20)]


class Instances:
    """Instances that exchange origins over loopback."""

    def __init__(self, count):
        free = ports.free_ports(count)
        self.addresses = {
            f"one-{n}": f"127.0.0.1:{port}" for n, port in enumerate(free)
        }
        self.parts = {
            name: exchange.OriginExchange(
                memory.OriginMemory(),
                name,
                address,
                lambda: self.addresses,
                lambda: KEY,
                malformed.Tally(),
            )
            for name, address in self.addresses.items()
        }
        for part in self.parts.values():
            part.start()

    def stop(self, name):
        self.parts.pop(name).stop()

    def holders(self, stream):
        return [
            name for name, one in self.parts.items() if one.known.find(stream)
        ]


@pytest.fixture
def instances():
    running = Instances(COUNT)
    with contextlib.ExitStack() as stack:
        for part in list(running.parts.values()):
            stack.callback(part.stop)
        yield running


def store_all(instances, name):
    for stream in STREAMS:
        instances.parts[name].store(stream, ORIGIN)
    for stream in STREAMS:
        waiting.until(
            lambda stream=stream: (
                len(instances.holders(stream)) == exchange.REPLICAS + 1
            )
        )


def test_origin_is_found_at_any_instance(instances):
    store_all(instances, "one-0")
    for part in instances.parts.values():
        for stream in STREAMS:
            assert part.find(stream) == ORIGIN


def test_origin_outlives_the_instance_that_began_the_stream(instances):
    """Guards against a kill that takes the only record of a version."""
    store_all(instances, "one-0")
    instances.stop("one-0")
    for part in instances.parts.values():
        assert {part.find(stream) for stream in STREAMS} == {ORIGIN}


def test_origin_is_found_while_instances_join_and_leave(instances):
    """Guards against other instances being selected than had stored it."""
    store_all(instances, "one-0")
    asking = instances.parts["one-1"]
    instances.addresses = {
        name: address
        for name, address in instances.addresses.items()
        if name not in ("one-0", "one-2")
    } | {"joined": "127.0.0.1:9"}
    found = [asking.find(stream) for stream in STREAMS]
    assert found == [ORIGIN] * len(STREAMS)


def test_unknown_origin_is_reported_as_soon_as_all_have_answered(instances):
    start_s = time.monotonic()
    assert instances.parts["one-0"].find("unknown") is None
    assert time.monotonic() - start_s < exchange.ANSWER_TIMEOUT_S
    assert instances.parts["one-0"].questions == {}


def test_silent_instances_delay_an_answer_for_a_bounded_time(instances):
    for name in list(instances.parts)[1:]:
        instances.stop(name)
    start_s = time.monotonic()
    assert instances.parts["one-0"].find("unknown") is None
    took_s = time.monotonic() - start_s
    assert took_s < exchange.ATTEMPTS * exchange.ANSWER_TIMEOUT_S + 0.3


def test_concurrent_questions_for_a_stream_are_all_answered(instances):
    store_all(instances, "one-0")
    asking = next(
        part
        for name, part in instances.parts.items()
        if name not in instances.holders(STREAMS[0])
    )
    found = []
    threads = [
        threading.Thread(target=lambda: found.append(asking.find(STREAMS[0])))
        for _ in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert found == [ORIGIN] * 8


def test_nothing_is_asked_before_the_key_is_known(instances):
    part = instances.parts["one-0"]
    part.key = lambda: None
    part.store("stream", ORIGIN)
    assert part.find("stream") == ORIGIN
    assert part.find("unknown") is None
    assert instances.holders("stream") == ["one-0"]


@pytest.mark.parametrize(
    "datagram", [b"", b"x" * 40, exchange.datagrams.seal(KEY, b"\xc1")]
)
def test_malformed_datagrams_are_counted(instances, datagram):
    part = instances.parts["one-0"]
    noted = []
    part.counter = malformed.Tally(noted.append)
    part.handle(datagram, "127.0.0.1:9")
    assert noted == [malformed.Kind.DATAGRAM]
