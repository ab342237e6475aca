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
    made = supervision.Supervisor()
    made.start()
    yield made
    made.stop()


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


@pytest.fixture
def upstream():
    ours, theirs = socket.socketpair()
    yield types.SimpleNamespace(sock=ours), theirs
    ours.close()
    theirs.close()


def watch_of(pair, after_s=30.0):
    return supervision.Watch(pair[0], clocks.boot_clock() + after_s)


def test_caller_that_leaves_ends_the_connection_to_the_endpoint(
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


def test_request_sent_ahead_is_no_end_but_leaving_after_it_is(
    supervisor, pair
):
    """A caller sends its next request before it has its answer.  Its bytes
    must not look like its end, and must not hide its end either.
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


def test_connection_that_was_given_back_is_left_alone(
    supervisor, pair, upstream
):
    """A caller leaves just after its answer.  The connection to the
    endpoint is another request's by then.
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


def test_request_that_has_its_answer_is_not_ended(supervisor, pair):
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


def test_news_of_a_caller_that_left_ends_no_other_callers_request():
    """A request ends without an answer though its caller waits.

    A caller closes as soon as it has its answer, which the poller reports.
    Before the report is looked at, the connection is closed and a new one
    gets its descriptor, whose request is then taken for the one whose
    caller left.
    """
    supervisor = supervision.Supervisor()
    ours, theirs = socket.socketpair()
    first = watch_of((ours, theirs))
    supervisor.watch(first)
    theirs.close()
    reported = supervisor.poller.poll(5)
    supervisor.unwatch(first)
    descriptor = ours.fileno()
    ours.close()
    with contextlib.ExitStack() as stack:
        pair = [stack.enter_context(sock) for sock in socket.socketpair()]
        assert pair[0].fileno() == descriptor
        second = watch_of(pair)
        supervisor.watch(second)
        for number, _events in reported:
            supervisor.handle_event(number)
        assert second.ending is None
