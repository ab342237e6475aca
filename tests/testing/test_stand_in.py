"""What all stand-ins share, shown on the log service and the store."""

from __future__ import annotations

import threading
import time

import pytest
import urllib3

from briarseam.testing import log_service
from briarseam.testing import stand_in
from briarseam.testing import waiting
from tests.testing import calls


@pytest.fixture
def log(running):
    return running(log_service.LogService())


def test_switches_merge_and_show(log):
    calls.control(log.address, delay_ms=1)
    shown = calls.control(log.address, retention_ms=5)
    assert (shown["delay_ms"], shown["retention_ms"]) == (1, 5)
    assert calls.call("GET", log.address, "/control").json() == shown


@pytest.mark.parametrize(
    "body",
    [{"nope": 1}, {"delay_ms": "soon"}, {"lose_answers": -1}, [1], b"{"],
    ids=["unknown", "type", "range", "form", "broken"],
)
def test_bad_switches_answer_400_and_change_nothing(log, body):
    before = calls.call("GET", log.address, "/control").json()
    answer = calls.call("POST", log.address, "/control", body)
    assert answer.status == 400
    assert answer.json()["error"]
    assert calls.call("GET", log.address, "/control").json() == before


def test_outage_answers_503_with_retry_after(log):
    calls.control(log.address, outage=True)
    answer = calls.call("POST", log.address, "/streams/s", b"x")
    assert (answer.status, answer.headers["Retry-After"]) == (503, "1")
    calls.control(log.address, outage=False)
    assert calls.call("GET", log.address, "/streams/s").status == 200
    assert log.stream("s").next_offset == 1


def test_lost_answer_took_effect(log):
    """A caller appends and its connection closes without an answer.

    The record is there all the same: sending it again blindly would put
    it on the log twice.  Reading calls don't use the switch up.
    """
    calls.control(log.address, lose_answers=1)
    calls.call("GET", log.address, "/streams/s")
    with pytest.raises(urllib3.exceptions.ProtocolError):
        calls.call("POST", log.address, "/streams/s", b"x")
    assert [each.content for each in log.stream("s").records] == [b"x"]
    answer = calls.call("POST", log.address, "/streams/s", b"y")
    assert answer.json() == {"offset": 2}


def test_refused_call_keeps_the_lost_answer_for_the_next(make_store):
    store = make_store(lose_answers=1)
    refused = calls.call("PUT", store.address, "/blocks/b", b"x")
    assert refused.status == 422
    assert calls.call("GET", store.address, "/control").json()["lose_answers"]


def test_delay_comes_before_the_answer(log):
    calls.control(log.address, delay_ms=50)
    begun = time.monotonic()
    calls.call("POST", log.address, "/streams/s", b"x")
    assert time.monotonic() - begun >= 0.05


@pytest.mark.parametrize(
    "path", ["/nope", "/", "/control/nope"], ids=["other", "root", "control"]
)
def test_unknown_call_answers_404(log, path):
    assert calls.call("GET", log.address, path).status == 404


@pytest.fixture
def poll(log):
    """Wait for records on a thread; give what came of it, once over."""
    ended = []

    def wait_for_records():
        try:
            path = "/streams/s?wait_ms=9000"
            ended.append(calls.call("GET", log.address, path).status)
        except urllib3.exceptions.HTTPError as error:
            ended.append(type(error))

    waiter = threading.Thread(target=wait_for_records)
    waiter.start()
    waiting.until(lambda: "s" in log.streams)

    def join():
        waiter.join(5)
        return ended

    return join


def test_stop_cuts_a_waiting_call_at_once(log, poll):
    log.stop()
    assert poll() == [urllib3.exceptions.ProtocolError]


def test_waiting_call_gets_no_answer_from_a_stand_in_that_stops(log, poll):
    """A log dies under a waiting reader.

    Stopping wakes the call before the connections are cut; were it
    answered in between, a death would look like an orderly refusal.
    """
    log.stopping.set()
    log.wake()
    assert poll() == [urllib3.exceptions.ProtocolError]


@pytest.mark.parametrize(
    "listen", ["localhost:0", "127.0.0.1", "127.0.0.1:x", ""]
)
def test_address_must_be_an_ip_number_and_a_port(listen):
    with pytest.raises(ValueError, match="IP:PORT"):
        stand_in.parse_address(listen)
