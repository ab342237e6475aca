"""An instance beside endpoints that send malformed answers."""

from __future__ import annotations

import pytest

from briarseam.testing import waiting
from tests import broken_answers
from tests import flooding
from tests import reset_uploads
from tests.platform import instances
from tests.platform import partition
from tests.platform import raw_caller
from tests.platform import system as systems

HEADS = [
    "field-no-colon",
    "field-no-name",
    "field-folded-value",
    "field-blank-in-name",
    "field-control-in-name",
    "field-blank-before-colon",
    "field-nul-in-value",
    "field-return-in-value",
    "last-field-byte-above-127-in-name",
    "last-field-slash-in-name",
    "length-empty",
    "length-word",
    "length-junk-behind",
    "length-vertical-tab-behind",
    "length-sound-and-broken",
    "lengths-different",
    "coding-unknown",
    "coding-twice",
    "coding-in-http-1.0",
    "coding-and-length",
    "start-protocol-0.9",
    "start-status-000",
    "start-status-999",
    "interim-with-a-malformed-field",
]
CHUNKS = [
    "chunk-no-line-end-behind-data",
    "chunk-line-feeds-behind-data",
    "chunk-no-size",
]
ODD = [
    "coding-between-blanks",
    "equal-lengths",
    "no-reason-and-no-blank",
    "end-of-http-1.0-connection",
    "interim-answers",
]
MAX_REQUESTS = 40
MAX_BODY_BYTES = 16 * 1024 * 1024
CLOSED_S = 1.0
TIMEOUT_S = 10.0


def plain(answer):
    """Return an answer to a plain request."""
    return answer.encode()


def stream(answer):
    """Return an answer to a request for a stream."""
    return answer.encode(broken_answers.EVENTS, flooding.EVENTS)


@pytest.fixture
def start(cold_system):
    """Return a function that starts an instance with a broken endpoint."""

    def start_with(data, service, sound=True):
        broken = broken_answers.Endpoint(data, closes=False)
        cold_system.add(broken, service)
        if sound:
            cold_system.add_worker("sound", service)
        cold_system.configure()
        cold_system.start()
        return broken

    return start_with


def until_sent_to(broken):
    """Yield numbers of requests until an endpoint has got one of them."""
    for number in range(MAX_REQUESTS):
        yield number
        if broken.requests:
            return


def check_closed(endpoint):
    """Check that the instance keeps no connection to an endpoint."""
    assert endpoint.requests
    waiting.until(lambda: endpoint.closed == endpoint.requests, CLOSED_S)


def whole_stream(system):
    """Return all events of the sound endpoint."""
    return b"".join(map(system.workers["sound"].event, (1, 2, 3)))


@pytest.mark.parametrize("name", HEADS + CHUNKS)
def test_safe_request_is_answered_by_another_endpoint(
    cold_system, start, name
):
    """Guards against a body that is not the endpoint's."""
    broken = start(plain(broken_answers.BROKEN[name]), "portal")
    for number in until_sent_to(broken):
        received = cold_system.receive(f"/status/{number}")
        assert (received.status, received.body) == (200, b"sound did it")
        assert received.complete
    check_closed(broken)


@pytest.mark.parametrize("name", HEADS + CHUNKS)
def test_stream_is_answered_by_another_endpoint(cold_system, start, name):
    """Guards against events of one run that are joined to another's."""
    broken = start(stream(broken_answers.BROKEN[name]), "engines")
    for number in until_sent_to(broken):
        received = cold_system.receive(f"/draft/{number}", **systems.PROMPT)
        assert received.status == 200
        assert received.body == whole_stream(cold_system)
        assert received.complete
    check_closed(broken)


@pytest.mark.parametrize("name", HEADS + CHUNKS)
def test_request_that_may_not_repeat_may_have_run(cold_system, start, name):
    """Guards against repeats, and against rejections that are not true."""
    answer = broken_answers.BROKEN[name]
    data = answer.encode(fields=flooding.NOT_RUN)
    broken = start(data, "portal", sound=False)
    received = cold_system.receive("/submit/x")
    assert received.status == 502
    assert broken.requests == 1
    check_closed(broken)


@pytest.mark.parametrize("name", HEADS + CHUNKS)
def test_stream_that_may_not_repeat_may_have_run(cold_system, start, name):
    answer = broken_answers.BROKEN[name]
    broken = start(stream(answer), "engines", sound=False)
    received = cold_system.receive("/draft/once/x", **systems.PROMPT)
    assert received.status == 502
    assert broken.requests == 1
    check_closed(broken)


@pytest.mark.parametrize("name", ODD)
def test_odd_answer_that_is_sound_arrives_whole(cold_system, start, name):
    answer = broken_answers.SOUND[name]
    endpoint = start(plain(answer), "portal", sound=False)
    endpoint.closes = True
    received = cold_system.receive("/submit/x")
    assert (received.status, received.body) == (200, broken_answers.BODY)
    assert received.complete


@pytest.mark.parametrize("name", ["field-no-colon", "length-word"])
def test_broken_answer_is_not_relayed_by_another_instance(
    cold_system, start, name
):
    """Guards against two instances of which one believes the other."""
    broken = start(plain(broken_answers.BROKEN[name]), "portal", sound=False)
    node, _other = instances.start_others(cold_system, 1)
    headers = systems.callers_headers(systems.KEY, {})
    with partition.from_endpoints(node):
        received = raw_caller.send(
            str(node.settings.listen.callers), "POST", "/submit/x", headers
        )
    assert received.status == 502
    assert broken.requests == 1


@pytest.mark.parametrize("part", ["plain", "empty"])
def test_part_that_comes_while_an_upload_is_passed_on_is_no_answer(
    cold_system, part
):
    """Guards against a reset that the write has seen, and no read sees."""
    resetting = reset_uploads.Endpoint(part)
    cold_system.add(resetting, "portal")
    cold_system.add_worker("sound", "portal")
    cold_system.configure(limits={"maxBodyBytes": MAX_BODY_BYTES})
    cold_system.start()
    for number in until_sent_to(resetting):
        answer = cold_system.call(
            f"/status/{number}", body=reset_uploads.UPLOAD
        )
        assert (answer.status, answer.data) == (200, b"sound did it")
    assert resetting.requests == 1
    answer = cold_system.call("/submit/x", body=reset_uploads.UPLOAD)
    if answer.status == 200:
        assert answer.data == b"sound did it"


@pytest.mark.parametrize("size", [0, 12, 20, 39, 60, 77])
def test_head_that_is_cut_is_no_answer(cold_system, start, size):
    """Guards against an empty answer that looks whole."""
    whole = stream(broken_answers.SOUND["end-of-connection"])
    broken = start(whole[:size], "engines")
    broken.closes = True
    for number in until_sent_to(broken):
        received = cold_system.receive(f"/draft/{number}", **systems.PROMPT)
        assert (received.status, received.complete) == (200, True)
        assert received.body == whole_stream(cold_system)
    received = cold_system.receive("/draft/once/x", **systems.PROMPT)
    assert (received.status == 502) or (
        received.body == whole_stream(cold_system)
    )
