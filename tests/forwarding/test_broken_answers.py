"""Attempts at endpoints whose answers have a malformed head or framing."""

from __future__ import annotations

import threading

import pytest
import structlog.testing

from briarseam import transfers
from briarseam.forwarding import attempts
from briarseam.forwarding import connections
from briarseam.forwarding import outcomes
from briarseam.platform import requests
from briarseam.routes import model as routes
from briarseam.testing import waiting
from tests import broken_answers
from tests import flooding
from tests import reset_uploads
from tests.forwarding import sending

CLOSED_S = 1.0
KINDS = (routes.Repeat.STREAM, routes.Repeat.ONCE)
TOLD = b"Server-Limit: 1\r\nServer-Leaving: 1\r\n"


class Attempt:
    """An attempt at an endpoint, and what became of it."""

    def __init__(self, endpoint, watch, repeat, body=b""):
        self.pool = connections.Pool()
        self.exchange = sending.Exchange()
        self.announced = []
        sender = attempts.Sender(
            self.pool,
            requests.decode_answer,
            lambda *announced: self.announced.append(announced),
        )
        attempt = sending.attempt_to(
            endpoint.address, watch, self.exchange, repeat, body
        )
        self.outcome = sender.send(attempt)
        self.transfer = attempt.transfer

    @property
    def idle(self):
        """Connections that may serve the next request."""
        return sum(map(len, self.pool.idle.values()))


def encode(answer, repeat):
    """Return an answer to a plain request or to one for a stream."""
    if repeat is routes.Repeat.STREAM:
        return answer.encode(broken_answers.EVENTS, flooding.EVENTS)
    return answer.encode()


def body_of(repeat):
    """Return the body of an answer."""
    is_stream = repeat is routes.Repeat.STREAM
    return broken_answers.EVENTS if is_stream else broken_answers.BODY


@pytest.mark.parametrize("repeat", KINDS)
@pytest.mark.parametrize("name", broken_answers.BROKEN)
def test_broken_answer_is_not_taken_for_whole(watch, name, repeat):
    """Guards against a body that is not the endpoint's."""
    data = encode(broken_answers.BROKEN[name], repeat)
    with broken_answers.Endpoint(data) as endpoint:
        attempt = Attempt(endpoint, watch, repeat)
    assert isinstance(attempt.outcome, outcomes.Broken)
    assert not attempt.exchange.sent
    assert not attempt.exchange.finished
    assert not attempt.idle


class SlowEndpoint(broken_answers.Endpoint):
    """Waits before it sends the line end behind the data of a chunk."""

    def __init__(self, data):
        super().__init__(data)
        self.passed_on = threading.Event()

    def answer(self, connection, end_s):
        """Answer with the first event, and with the rest once it was sent."""
        data, rest = self.answer_bytes.split(b"\n\n\r\n", 1)
        connection.sendall(data + b"\n\n")
        assert self.passed_on.wait(CLOSED_S)
        self.answer_bytes = b"\r\n" + rest
        super().answer(connection, end_s)


def test_event_is_passed_on_before_the_line_end_behind_it(watch, monkeypatch):
    """Guards against events that wait for the next one."""
    data = encode(broken_answers.SOUND["chunks"], routes.Repeat.STREAM)
    with SlowEndpoint(data) as endpoint:
        begin = sending.Exchange.begin

        def begin_and_tell(exchange, *args):
            begin(exchange, *args)
            endpoint.passed_on.set()

        monkeypatch.setattr(sending.Exchange, "begin", begin_and_tell)
        attempt = Attempt(endpoint, watch, routes.Repeat.STREAM)
    assert isinstance(attempt.outcome, outcomes.Answered)
    assert b"".join(attempt.exchange.sent) == broken_answers.EVENTS


@pytest.mark.parametrize("name", broken_answers.HEADS)
def test_nothing_in_a_broken_head_is_passed_on_or_believed(watch, name):
    """Guards against rejections and notices that no endpoint has made."""
    answer = broken_answers.HEADS[name]
    told = TOLD + flooding.NOT_RUN
    for repeat in KINDS:
        data = answer.encode(broken_answers.EVENTS, told + flooding.EVENTS)
        with broken_answers.Endpoint(data) as endpoint:
            attempt = Attempt(endpoint, watch, repeat)
        assert isinstance(attempt.outcome, outcomes.Broken)
        assert not attempt.exchange.sent
        assert not attempt.announced


@pytest.mark.parametrize("name", broken_answers.FRAMINGS)
def test_rejection_with_a_broken_framing_is_not_believed(watch, name):
    """Guards against a promise that is not known to hold."""
    data = broken_answers.FRAMINGS[name].encode(fields=flooding.NOT_RUN)
    with broken_answers.Endpoint(data) as endpoint:
        attempt = Attempt(endpoint, watch, routes.Repeat.ONCE)
    assert isinstance(attempt.outcome, outcomes.Broken)
    assert not attempt.idle


@pytest.mark.parametrize("name", broken_answers.BROKEN)
def test_connection_of_a_broken_answer_is_closed_at_once(watch, name):
    """Guards against waiting for an end that a broken head does not name."""
    data = broken_answers.BROKEN[name].encode()
    with broken_answers.Endpoint(data, closes=False) as endpoint:
        attempt = Attempt(endpoint, watch, routes.Repeat.ONCE)
        assert isinstance(attempt.outcome, outcomes.Broken)
        waiting.until(lambda: endpoint.closed, CLOSED_S)
    assert endpoint.requests == 1


@pytest.mark.parametrize("repeat", KINDS)
@pytest.mark.parametrize("name", broken_answers.SOUND)
def test_sound_answer_arrives_whole(watch, name, repeat):
    data = encode(broken_answers.SOUND[name], repeat)
    with broken_answers.Endpoint(data) as endpoint:
        attempt = Attempt(endpoint, watch, repeat)
    assert attempt.outcome == outcomes.Answered(200)
    assert b"".join(attempt.exchange.sent) == body_of(repeat)
    assert attempt.exchange.finished


@pytest.mark.parametrize(
    ("name", "fault"),
    [
        ("field-no-colon", "field"),
        ("length-word", "Content-Length"),
        ("chunk-no-line-end-behind-data", "end of a chunk"),
    ],
)
def test_log_tells_what_is_malformed(watch, name, fault):
    """Guards against log lines in which endpoints could write."""
    data = broken_answers.BROKEN[name].encode()
    with (
        broken_answers.Endpoint(data) as endpoint,
        structlog.testing.capture_logs() as lines,
    ):
        attempt = Attempt(endpoint, watch, routes.Repeat.ONCE)
    (line,) = [one for one in lines if one["event"] == "answer_malformed"]
    assert line["detail"].count(f"malformed {fault}")
    assert attempt.transfer.end is transfers.End.MALFORMED


@pytest.mark.parametrize("part", reset_uploads.PARTS)
@pytest.mark.parametrize("repeat", KINDS)
def test_part_that_comes_while_the_request_is_written_is_no_answer(
    watch, repeat, part
):
    """Guards against a reset that the write has seen, and no read sees."""
    with reset_uploads.Endpoint(part) as endpoint:
        attempt = Attempt(endpoint, watch, repeat, reset_uploads.UPLOAD)
        assert isinstance(attempt.outcome, outcomes.Broken)
        assert not attempt.exchange.sent
        assert not attempt.exchange.finished
        assert endpoint.requests == 1


@pytest.mark.parametrize("repeat", KINDS)
@pytest.mark.parametrize("name", broken_answers.FOLLOWED)
def test_connection_with_more_than_its_answer_is_closed(watch, name, repeat):
    """Guards against bytes that are read as the next answer."""
    data = encode(broken_answers.FOLLOWED[name], repeat)
    with broken_answers.Endpoint(data, closes=False) as endpoint:
        attempt = Attempt(endpoint, watch, repeat)
        assert attempt.outcome == outcomes.Answered(200)
        assert b"".join(attempt.exchange.sent) == body_of(repeat)
        assert not attempt.idle
        waiting.until(lambda: endpoint.closed, CLOSED_S)


@pytest.mark.parametrize("repeat", KINDS)
@pytest.mark.parametrize("name", ["length", "chunks", "end-of-connection"])
def test_head_that_is_cut_at_any_byte_is_no_answer(watch, name, repeat):
    """Guards against a short head that reads as that of an empty answer."""
    whole = encode(broken_answers.SOUND[name], repeat)
    head = whole[: whole.index(b"\r\n\r\n") + 4]
    taken = []
    for size in range(len(head)):
        with broken_answers.Endpoint(head[:size]) as endpoint:
            attempt = Attempt(endpoint, watch, repeat)
        broken = isinstance(attempt.outcome, outcomes.Broken)
        if not broken or attempt.exchange.sent or attempt.exchange.finished:
            taken.append(head[:size])
    assert not taken
