from __future__ import annotations

import threading

import msgpack
import pytest

from briarseam.testing import log_service
from briarseam.testing import waiting
from tests.testing import calls


@pytest.fixture
def log(running):
    return running(log_service.LogService())


def read(log, query="", stream="s"):
    answer = calls.call("GET", log.address, f"/streams/{stream}?{query}")
    assert answer.status == 200
    return msgpack.unpackb(answer.data)


def append(log, content, stream="s"):
    return calls.call("POST", log.address, f"/streams/{stream}", content)


def test_offsets_are_dense_from_1_in_each_stream(log):
    offsets = [append(log, b"x").json()["offset"] for _ in range(3)]
    other = append(log, b"y", stream="a%2Fb").json()["offset"]
    assert (offsets, other) == ([1, 2, 3], 1)
    assert read(log, stream="a%2Fb")["records"][0][2] == b"y"


def test_appends_of_many_callers_stay_dense(log):
    def append_some():
        for _ in range(20):
            append(log, b"x")

    callers = [threading.Thread(target=append_some) for _ in range(8)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    page = read(log)
    assert [record[0] for record in page["records"]] == list(range(1, 161))
    assert page["next"] == 161


@pytest.mark.parametrize(
    ("query", "offsets"),
    [("", [1, 2, 3]), ("after=1", [2, 3]), ("max=2", [1, 2]), ("after=9", [])],
)
def test_reads_what_is_asked(log, query, offsets):
    for _ in range(3):
        append(log, b"x")
    page = read(log, query)
    assert [record[0] for record in page["records"]] == offsets
    assert (page["first"], page["next"]) == (1, 4)


def test_long_poll_ends_with_an_append(log):
    pages = []
    reader = threading.Thread(
        target=lambda: pages.append(read(log, "after=0&wait_ms=9000"))
    )
    reader.start()
    append(log, b"x")
    reader.join(5)
    assert [record[2] for record in pages[0]["records"]] == [b"x"]


def test_long_poll_ends_with_an_outage(log):
    answers = []

    def poll():
        path = "/streams/s?wait_ms=9000"
        answers.append(calls.call("GET", log.address, path))

    reader = threading.Thread(target=poll)
    reader.start()
    calls.control(log.address, outage=True)
    reader.join(5)
    assert answers[0].status == 503


def test_long_poll_without_records_ends_in_time(log):
    assert read(log, "wait_ms=20")["records"] == []


def test_old_records_vanish_and_offsets_go_on(log):
    for _ in range(3):
        append(log, b"x")
    calls.control(log.address, retention_ms=1)
    waiting.until(lambda: not read(log)["records"])
    page = read(log)
    assert (page["first"], page["next"]) == (4, 4)
    calls.control(log.address, retention_ms=0)
    assert append(log, b"y").json() == {"offset": 4}
    assert read(log)["first"] == 4


def test_appends_beyond_the_rate_answer_429_and_append_nothing(log):
    calls.control(log.address, appends_per_s=0.01)
    assert append(log, b"x").status == 200
    refused = append(log, b"y")
    assert (refused.status, refused.headers["Retry-After"]) == (429, "100")
    assert log.stream("s").next_offset == 2


def test_record_over_1_mib_answers_413(log):
    assert append(log, bytes(1 << 20)).status == 200
    assert append(log, bytes((1 << 20) + 1)).status == 413


def test_bad_query_answers_400(log):
    path = "/streams/s?after=x"
    assert calls.call("GET", log.address, path).status == 400
