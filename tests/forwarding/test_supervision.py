from __future__ import annotations

import contextlib
import socket
import types

import pytest

from briarseam import clocks
from briarseam.forwarding import supervision
from briarseam.testing import waiting


@pytest.fixture
def supervisor():
    new_supervisor = supervision.Supervisor()
    new_supervisor.start()
    yield new_supervisor
    new_supervisor.stop()


@pytest.fixture
def pair():
    local, remote = socket.socketpair()
    yield local, remote
    local.close()
    remote.close()


@pytest.fixture
def upstream():
    local, remote = socket.socketpair()
    yield types.SimpleNamespace(sock=local), remote
    local.close()
    remote.close()


def watch_of(pair, after_s=30.0):
    return supervision.Watch(pair[0], clocks.boot_clock() + after_s)


def test_disconnect_of_the_caller_ends_the_connection_to_the_endpoint(
    supervisor, pair, upstream
):
    watch = watch_of(pair)
    supervisor.watch(watch)
    watch.attach(upstream[0])
    pair[1].close()
    upstream[1].settimeout(5)
    assert upstream[1].recv(1) == b""
    assert watch.ending is supervision.Ending.CALLER_GONE


def test_deadline_ends_the_connection_to_the_endpoint(
    supervisor, pair, upstream
):
    watch = watch_of(pair, after_s=0.1)
    supervisor.watch(watch)
    watch.attach(upstream[0])
    upstream[1].settimeout(5)
    assert upstream[1].recv(1) == b""
    assert watch.ending is supervision.Ending.TIMED_OUT


def test_pipelined_request_neither_ends_a_request_nor_hides_a_disconnect(
    supervisor, pair
):
    """A caller sends its next request before it has the answer.  The data
    must not be taken for a disconnect, nor hide a later disconnect.
    """
    watch = watch_of(pair)
    supervisor.watch(watch)
    pair[1].sendall(b"GET / HTTP/1.1\r\n")
    waiting.until(
        lambda: supervision.probe_caller(pair[0]).name == "PIPELINED"
    )
    assert watch.ending is None
    pair[1].close()
    waiting.until(lambda: watch.ending is supervision.Ending.CALLER_GONE)


def test_connection_that_was_released_is_not_closed(
    supervisor, pair, upstream
):
    """A caller disconnects just after its answer, when the connection to the
    endpoint may already be used by another request.
    """
    watch = watch_of(pair)
    supervisor.watch(watch)
    watch.attach(upstream[0])
    watch.detach()
    pair[1].close()
    waiting.until(lambda: watch.ending is not None)
    upstream[1].sendall(b"x")
    upstream[0].sock.settimeout(5)
    assert upstream[0].sock.recv(1) == b"x"


def test_answered_request_is_not_ended(supervisor, pair):
    watch = watch_of(pair, after_s=0.05)
    supervisor.watch(watch)
    supervisor.unwatch(watch)
    waiting.until(lambda: not supervisor.deadlines)
    assert watch.ending is None


def test_ended_request_gets_no_connection(pair, upstream):
    watch = watch_of(pair)
    watch.end(supervision.Ending.TIMED_OUT)
    with pytest.raises(supervision.EndedError):
        watch.attach(upstream[0])


def test_late_event_of_a_closed_connection_ends_no_other_request():
    """A request must not end without an answer while its caller waits.

    A caller closes its connection as soon as it has its answer, which the
    poller reports.  Before this event is handled, the connection is closed
    and its descriptor is reused for a new connection.  The event must not
    end the request of the new connection.
    """
    supervisor = supervision.Supervisor()
    local, remote = socket.socketpair()
    first = watch_of((local, remote))
    supervisor.watch(first)
    remote.close()
    reported = supervisor.poller.poll(5)
    supervisor.unwatch(first)
    descriptor = local.fileno()
    local.close()
    with contextlib.ExitStack() as stack:
        pair = [stack.enter_context(sock) for sock in socket.socketpair()]
        assert pair[0].fileno() == descriptor
        second = watch_of(pair)
        supervisor.watch(second)
        for number, _events in reported:
            supervisor.handle_event(number)
        assert second.ending is None


def test_request_with_a_grace_goes_on_for_a_while(supervisor, pair, upstream):
    """Guards against trials that callers end before they can be answered."""
    watch = watch_of(pair)
    left = []
    watch.begin_grace(0.3, lambda: left.append(clocks.boot_clock()))
    supervisor.watch(watch)
    watch.attach(upstream[0])
    pair[1].close()
    upstream[1].settimeout(5)
    assert upstream[1].recv(1) == b""
    assert watch.ending is supervision.Ending.CALLER_GONE
    assert clocks.boot_clock() - left[0] >= 0.3


def test_request_ends_with_its_grace_if_the_caller_has_left(supervisor, pair):
    """Guards against a second endpoint that is tried for no caller."""
    watch = watch_of(pair)
    watch.begin_grace(30.0, lambda: None)
    supervisor.watch(watch)
    pair[1].close()
    waiting.until(lambda: watch.caller_left)
    assert watch.ending is None
    watch.end_grace()
    assert watch.ending is supervision.Ending.CALLER_GONE


def test_end_of_a_grace_does_not_end_a_request_whose_caller_stays(pair):
    watch = watch_of(pair)
    watch.begin_grace(30.0, lambda: None)
    watch.end_grace()
    assert watch.ending is None
