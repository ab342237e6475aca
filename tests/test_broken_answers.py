"""Readers of answers whose head or framing is malformed."""

from __future__ import annotations

import dataclasses

import pytest

from briarseam import bounded_http
from briarseam.endpoints import engine
from briarseam.endpoints import engine_start
from briarseam.testing import waiting
from tests import answer_readers
from tests import broken_answers

CLOSED_S = 1.0
READERS = answer_readers.calls()


def read(client, answer):
    """Return the outcome of a call that gets an answer, or its error."""
    call, _error, _timeout_s = READERS[client]
    data = answer.encode(answer_readers.BODIES[client])
    with broken_answers.Endpoint(data) as endpoint:
        try:
            return call(endpoint.address)
        except Exception as error:  # noqa: B902  # checked by the tests
            return error


def is_readable(client, name):
    """Return whether a reader takes sound answers of this form."""
    ends_with_connection = name.startswith("end-of-")
    needs_framing = client in answer_readers.NEEDS_FRAMING
    return not (needs_framing and ends_with_connection)


@pytest.mark.parametrize("client", READERS)
def test_no_reader_believes_a_broken_answer(client):
    """Guards against state that no sound answer has told."""
    _call, expected, _timeout_s = READERS[client]
    believed = [
        name
        for name, answer in broken_answers.BROKEN.items()
        if not isinstance(read(client, answer), expected)
    ]
    assert not believed


@pytest.mark.parametrize("client", READERS)
def test_every_reader_takes_odd_answers_that_are_sound(client):
    refused = [
        name
        for name, answer in broken_answers.SOUND.items()
        if is_readable(client, name)
        and isinstance(read(client, answer), Exception)
    ]
    assert not refused


@pytest.mark.parametrize("client", READERS)
def test_readers_close_the_connection_of_a_broken_answer(client):
    """Guards against reading on until the time is over."""
    call, expected, _timeout_s = READERS[client]
    answer = broken_answers.BROKEN["field-no-colon"]
    data = answer.encode(answer_readers.BODIES[client])
    with broken_answers.Endpoint(data, closes=False) as endpoint:
        with pytest.raises(expected):
            call(endpoint.address)
        waiting.until(lambda: endpoint.closed == 1, CLOSED_S)


@pytest.mark.parametrize("name", ["start-status-000", "length-word"])
def test_broken_answer_does_not_show_that_an_engine_has_died(name):
    """Guards against running a request again that an engine still runs."""
    answer = broken_answers.BROKEN[name]
    for body in (answer_readers.BODIES["engine-start"], b'{"boot_id":"c"}'):
        with broken_answers.Endpoint(answer.encode(body)) as endpoint:
            assert not engine_start.has_died(endpoint.address, "b")


@pytest.mark.parametrize("name", broken_answers.FRAMINGS)
@pytest.mark.parametrize("status", [b"400", b"409", b"503"])
def test_broken_refusal_of_a_run_is_not_believed(status, name):
    """Guards against a second run beside one that has started."""
    answer = dataclasses.replace(
        broken_answers.FRAMINGS[name], start=b"HTTP/1.1 " + status + b" No"
    )
    with broken_answers.Endpoint(answer.encode(b"{}")) as endpoint:
        call, _error, _timeout_s = READERS["engine-run"]
        with pytest.raises(engine.LostError):
            call(endpoint.address)


@pytest.mark.parametrize("name", broken_answers.FOLLOWED)
def test_pool_uses_no_connection_with_more_than_its_answer(name):
    """Guards against bytes that are read as the next answer."""
    pool = bounded_http.pool_manager(retries=False, maxsize=1)
    data = broken_answers.FOLLOWED[name].encode()
    with broken_answers.Endpoint(data, closes=False) as endpoint:
        url = f"http://{endpoint.address}/"
        for number in range(3):
            answer = pool.request("GET", url, timeout=CLOSED_S)
            assert answer.data == broken_answers.BODY
            assert endpoint.requests == number + 1


def test_pool_uses_a_connection_again_after_a_reconnect():
    """Guards against a connection for each call after one that was spoiled."""
    pool = bounded_http.pool_manager(retries=False, maxsize=1)
    data = broken_answers.FOLLOWED["length-then-a-byte"].encode()
    with broken_answers.Endpoint(data, closes=False) as endpoint:
        url = f"http://{endpoint.address}/"
        pool.request("GET", url, timeout=CLOSED_S)
        endpoint.answer_bytes = broken_answers.SOUND["length"].encode()
        pool.request("GET", url, timeout=CLOSED_S)
        connection = pool.connection_from_url(url)._get_conn()
        assert connection.is_connected
