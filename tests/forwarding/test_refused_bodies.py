"""Bodies that are refused since too many bytes are held."""

from __future__ import annotations

import threading

import pytest

from briarseam.forwarding import bodies
from briarseam.forwarding import outcomes
from briarseam.routes import model as routes
from briarseam.testing import waiting
from tests.forwarding import serving

LIMIT = 100_000
TIMEOUT_S = 20.0
CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class Script:
    """Answers of an endpoint, which may be held up.

    Attributes
    ----------
    go_on
        The endpoint answers while it is set.
    answer
        The answer; the connection closes after it.
    """

    def __init__(self):
        self.go_on = threading.Event()
        self.go_on.set()
        self.answer = serving.HEAD + b"Content-Length: 2\r\n\r\nok"
        self.requests = 0

    def serve(self, connection):
        """Answer requests."""
        while head := connection.recv(65536):
            while b"\r\n\r\n" not in head:
                head += connection.recv(65536)
            head, _, body = head.partition(b"\r\n\r\n")
            length = 0
            for line in head.lower().split(b"\r\n"):
                name, _, value = line.partition(b":")
                if name == b"content-length":
                    length = int(value)
            while len(body) < length:
                body += connection.recv(65536)
            self.requests += 1
            assert self.go_on.wait(TIMEOUT_S)
            connection.sendall(self.answer)
            if not self.answer.endswith(b"ok"):
                return


@pytest.fixture
def script():
    return Script()


@pytest.fixture
def instance(script):
    started = serving.Instance(
        serving.Endpoint(script.serve), routes.Repeat.ONCE, LIMIT
    )
    yield started
    script.go_on.set()
    started.stop()


@pytest.fixture
def holder(instance, script):
    """A caller whose request holds most of the limit."""
    script.go_on.clear()
    with instance.connect() as caller:
        caller.sendall(serving.post(LIMIT - 10) + b"b" * (LIMIT - 10))
        waiting.until(lambda: script.requests == 1, TIMEOUT_S)
        yield caller


def test_body_of_known_length_is_refused_before_it_is_read(instance, holder):
    """Guards against memory taken by bodies that are refused anyway."""
    with instance.connect() as caller:
        # The body is not sent, so only its head can be the cause.
        caller.sendall(serving.post(LIMIT))
        assert caller.recv(65536).startswith(b"HTTP/1.1 503")
    assert instance.held.total == LIMIT - 10


def test_refusal_arrives_though_the_whole_body_is_sent(instance, holder):
    """Guards against a reset that destroys the refusal."""
    body = b"b" * (8 * 2**20)
    with instance.connect() as caller:
        caller.sendall(serving.post(len(body)) + body)
        answer = serving.read_to_end(caller)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"\r\nConnection: close\r\n" in answer
    assert answer.endswith(b"\r\n\r\nrefused")


def test_refused_body_is_not_taken_for_the_next_request(
    instance, holder, script
):
    """Guards against a body that holds a request of its own."""
    hidden = serving.post(0)
    body = hidden * (LIMIT // len(hidden))
    with instance.connect() as caller:
        caller.sendall(serving.post(len(body)) + body + hidden)
        answer = serving.read_to_end(caller)
    assert answer.count(b"HTTP/1.1") == 1
    assert script.requests == 1


@pytest.mark.parametrize("chunk_bytes", [7, 4000, LIMIT])
def test_chunked_body_is_refused_when_it_meets_the_limit(
    instance, holder, script, chunk_bytes
):
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"b" * chunk_bytes)
    count = LIMIT // chunk_bytes
    with instance.connect() as caller:
        caller.sendall(CHUNKED + chunk * count + b"0\r\n\r\n")
        answer = serving.read_to_end(caller)
    assert answer.startswith(b"HTTP/1.1 503")
    assert answer.count(b"HTTP/1.1") == 1
    assert instance.held.total == LIMIT - 10
    assert script.requests == 1


def test_chunk_is_refused_before_it_is_read(instance, holder):
    """Guards against a body that comes as one large chunk."""
    with instance.connect() as caller:
        caller.sendall(CHUNKED + b"%x\r\n" % LIMIT)
        assert caller.recv(65536).startswith(b"HTTP/1.1 503")


def test_small_body_is_accepted_and_its_connection_kept(
    instance, holder, script
):
    with instance.connect() as caller:
        caller.sendall(serving.post(5) + b"small")
        waiting.until(lambda: script.requests == 2, TIMEOUT_S)
        script.go_on.set()
        assert b"ok" in caller.recv(65536)
        caller.sendall(serving.post(5) + b"small")
        assert b"ok" in caller.recv(65536)


def test_body_over_the_limit_is_accepted_while_nothing_is_held(
    instance, script
):
    """Guards against a request that is refused each time it is repeated."""
    with instance.connect() as caller:
        caller.sendall(serving.post(3 * LIMIT) + b"b" * (3 * LIMIT))
        assert caller.recv(65536).startswith(b"HTTP/1.1 200")
    waiting.until(lambda: instance.held.total == 0, TIMEOUT_S)
    with instance.connect() as caller:
        caller.sendall(CHUNKED)
        for _ in range(30):
            caller.sendall(b"2710\r\n" + b"b" * 10_000 + b"\r\n")
        caller.sendall(b"0\r\n\r\n")
        assert caller.recv(65536).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    "answer",
    [
        serving.HEAD + b"Content-Length: 9\r\n\r\nshort",
        serving.HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nsh",
        b"HTTP/1.1 500 Oops\r\nContent-Length: 5\r\n\r\nwrong",
        b"",
    ],
)
def test_nothing_stays_counted_after_an_error(instance, script, answer):
    """Guards against a count that grows until all requests are refused."""
    script.answer = answer
    with instance.connect() as caller:
        caller.sendall(serving.post(5000) + b"b" * 5000)
        waiting.until(lambda: instance.results, TIMEOUT_S)
    assert not isinstance(instance.results[0], outcomes.Answered)
    waiting.until(lambda: instance.held.total == 0, TIMEOUT_S)


def test_nothing_stays_counted_after_the_caller_has_left(
    instance, holder, script
):
    assert instance.held.total == LIMIT - 10
    holder.close()
    waiting.until(lambda: instance.held.total == 0, TIMEOUT_S)


@pytest.mark.parametrize(
    "sent",
    [
        serving.post(5000) + b"b" * 100,
        CHUNKED + b"100\r\n" + b"b" * 10,
        CHUNKED + b"3\r\nabc\r\nno size\r\n",
    ],
)
def test_nothing_stays_counted_after_a_truncated_body(instance, sent):
    with instance.connect() as caller:
        caller.sendall(sent)
    waiting.until(lambda: instance.results, TIMEOUT_S)
    assert isinstance(instance.results[0], bodies.BodyError)
    waiting.until(lambda: instance.held.total == 0, TIMEOUT_S)
