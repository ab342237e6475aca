from __future__ import annotations

import concurrent.futures
import json
import socket
import threading
import time

import pytest
import urllib3

from briarseam.testing import answers
from briarseam.testing import waiting
from briarseam.testing import words
from tests.testing import calls


def start(engine, *args, **more):
    return calls.open_stream(
        engine.address, "/runs", calls.run_body(*args, **more)
    )


def whole(answer):
    """Read a stream that must end well; give offsets and tokens."""
    received = list(calls.events(answer))
    assert received[-1][0] == "done", received[-1]
    offsets, tokens = calls.tokens(received)
    assert received[-1][1]["tokens"] == offsets[-1] + 1
    return offsets, tokens


def counts(engine):
    path = "/control/runs"
    return calls.call("GET", engine.address, path).json()["runs"]


def test_streams_the_expected_answer(make_engine):
    engine = make_engine()
    received = list(calls.events(start(engine, "r1", max_tokens=3)))
    assert [name for name, _ in received] == ["start", *["token"] * 3, "done"]
    assert received[0][1] == {
        "run_id": "r1",
        "version": "v1",
        "cached_tokens": 0,
        "prompt_tokens": 3,
    }
    assert calls.tokens(received) == (
        [0, 1, 2],
        answers.expected_answer("m", "v1", "a b c", 3),
    )


def test_answer_depends_on_model_version_and_prompt():
    expected = answers.expected_answer("m", "v1", "a b", 4)
    assert answers.expected_answer("m", "v1", "a b", 2) == expected[:2]
    others = [
        answers.expected_answer("n", "v1", "a b", 4),
        answers.expected_answer("m", "v2", "a b", 4),
        answers.expected_answer("m", "v1", "a c", 4),
    ]
    assert not any(set(expected) & set(other) for other in others)


def test_prior_tokens_are_not_given_again(make_engine):
    """A run goes on elsewhere after its first endpoint died."""
    engine = make_engine()
    expected = answers.expected_answer("m", "v1", "a b c", 5)
    answer = start(engine, "r1", max_tokens=5, prior=expected[:2])
    received = list(calls.events(answer))
    assert received[0][1]["prompt_tokens"] == 5
    assert calls.tokens(received) == ([2, 3, 4], expected[2:])
    assert received[-1][1]["tokens"] == 5


def test_run_id_seen_before_starts_nothing(make_engine):
    """An entry sends a run twice, the second time for another version.

    The refusal must say that the id was used: "another version" would read
    as if nothing had run.
    """
    engine = make_engine()
    whole(start(engine, "r1"))
    for more in ({}, {"version": "v2"}, {"model": "other"}):
        answer = start(engine, "r1", **more)
        assert (answer.status, answer.json()) == (409, {"duplicate": True})
    assert counts(engine) == {"r1": 1}


@pytest.mark.parametrize(
    ("more", "status", "answer"),
    [
        ({"version": "v2"}, 409, {"version": "v1"}),
        ({"adapter": "x"}, 409, {"adapters": []}),
        ({"model": "n"}, 404, {"error": "no model 'n'"}),
    ],
    ids=["version", "adapter", "model"],
)
def test_run_that_cannot_be_served_is_not_started(
    make_engine, more, status, answer
):
    engine = make_engine()
    refused = start(engine, "r1", **more)
    assert (refused.status, refused.json()) == (status, answer)
    assert counts(engine) == {}
    assert whole(start(engine, "r1", version="v1"))


@pytest.mark.parametrize(
    "more",
    [{"max_tokens": 0}, {"priority": 10}, {"run_id": ""}, {"prompt": 7}],
    ids=["length", "priority", "id", "prompt"],
)
def test_bad_run_answers_400(make_engine, more):
    engine = make_engine()
    body = calls.run_body("r1") | more
    assert calls.call("POST", engine.address, "/runs", body).status == 400
    assert counts(engine) == {}


@pytest.mark.parametrize("offset", [0, 3, 5], ids=["all", "rest", "none"])
def test_resumes_from_an_offset_after_the_end(make_engine, offset):
    engine = make_engine()
    _, tokens = whole(start(engine, "r1", max_tokens=5))
    path = f"/runs/r1?from={offset}"
    answer = calls.open_stream(engine.address, path)
    received = list(calls.events(answer))
    assert calls.tokens(received) == (
        list(range(offset, 5)),
        tokens[offset:],
    )
    assert received[0][0] == "start"
    assert received[-1] == ("done", {"run_id": "r1", "tokens": 5})
    assert calls.call("GET", engine.address, "/runs/r2").status == 404


def test_run_goes_on_without_its_caller(make_engine):
    """A caller's link dies in the middle; it resumes on a new one."""
    engine = make_engine(token_s=0.01)
    answer = start(engine, "r1", max_tokens=30)
    received = calls.events(answer)
    while next(received)[0] != "token":
        pass
    answer.close()
    resumed = calls.open_stream(engine.address, "/runs/r1?from=1")
    offsets, _ = whole(resumed)
    assert offsets == list(range(1, 30))
    assert counts(engine) == {"r1": 1}


@pytest.mark.parametrize("slots", [1, 4], ids=["queued", "decoding"])
def test_cancel_ends_the_stream_with_an_error(make_engine, slots):
    engine = make_engine(slots=slots, token_s=0.01)
    blocker = start(engine, "r0", max_tokens=10_000)
    waiting.until(lambda: engine.scheduler.load().running == 1)
    cancelled = start(engine, "r1", max_tokens=10_000)
    if slots > 1:
        waiting.until(lambda: engine.book.find("r1").length)
    for expected in (True, False):
        answer = calls.call("DELETE", engine.address, "/runs/r1")
        assert answer.json() == {"cancelled": expected}
    last = list(calls.events(cancelled))[-1]
    assert last == ("error", {"reason": "cancelled"})
    assert engine.scheduler.load().queued == 0
    waiting.until(lambda: engine.scheduler.load().running == 1)
    assert calls.call("DELETE", engine.address, "/runs/r2").status == 404
    blocker.close()


def test_queue_goes_by_priority_then_arrival(make_engine):
    engine = make_engine(slots=1, token_s=0.01)
    blocker = start(engine, "r0", max_tokens=10_000)
    queued = [
        start(engine, f"r{number}", max_tokens=1, priority=priority)
        for number, priority in enumerate((9, 5, 0, 5), 1)
    ]
    assert [answer.status for answer in queued] == [200] * 4
    waiting.until(lambda: engine.scheduler.load().queued == 4)
    calls.call("DELETE", engine.address, "/runs/r0")
    for answer in queued:
        whole(answer)
    begun = sorted(
        (engine.book.find(run_id).prefill_ends_at, run_id)
        for run_id in ("r1", "r2", "r3", "r4")
    )
    assert [run_id for _, run_id in begun] == ["r3", "r2", "r4", "r1"]
    blocker.close()


def test_many_streams_each_get_their_own_whole_answer(make_engine):
    """Two hundred callers follow runs of one engine at once."""
    engine = make_engine(slots=200, token_s=0.005)

    def ask(number):
        prompt = words.prompt(50, number)
        _, tokens = whole(
            start(engine, f"r{number}", prompt=prompt, max_tokens=20)
        )
        return tokens == answers.expected_answer("m", "v1", prompt, 20)

    with concurrent.futures.ThreadPoolExecutor(200) as pool:
        assert all(pool.map(ask, range(200)))


def test_caller_that_reads_slowly_gets_all_and_holds_up_no_other(
    make_engine,
):
    """One caller stops reading until its socket is full.

    The engine's one thread sends all streams, so a write that waited for
    this caller would stop every other one too.
    """
    engine = make_engine(token_s=0.002)
    run_id = "long" * 4096
    body = json.dumps(calls.run_body(run_id, max_tokens=1000)).encode()
    host, port = engine.address.split(":")
    with socket.socket() as slow:
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.connect((host, int(port)))
        slow.sendall(
            b"POST /runs HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s"
            % (len(body), body)
        )
        other = start(engine, "r2", max_tokens=1000)
        assert len(whole(other)[0]) == 1000
        slow.settimeout(20)
        received = b"".join(iter(lambda: slow.recv(1 << 16), b""))
    offsets = [
        int(line.removeprefix(b"id: "))
        for line in received.split(b"\n")
        if line.startswith(b"id: ")
    ]
    assert offsets == list(range(1000))
    assert received.count(b"event: done") == 1


def test_truncated_stream_has_no_done(make_engine):
    """A stream breaks off; the run itself is whole and can be resumed."""
    engine = make_engine(truncate_after=2)
    received = []
    with pytest.raises(urllib3.exceptions.ProtocolError):
        received.extend(calls.events(start(engine, "r1")))
    engine.set(truncate_after=0)
    answer = calls.open_stream(engine.address, "/runs/r1?from=2")
    assert whole(answer)[0] == [2, 3, 4]


def test_truncation_reaches_streams_under_way(make_engine):
    engine = make_engine(token_s=0.01)
    received = calls.events(start(engine, "r1", max_tokens=10_000))
    while next(received)[0] != "token":
        pass
    engine.set(truncate_after=1)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        list(received)


def test_first_token_comes_after_the_prefill(make_engine):
    engine = make_engine(prefill_s_per_piece=0.1)
    begun = time.monotonic()
    whole(start(engine, "r1", prompt=words.prompt(1500), max_tokens=1))
    assert time.monotonic() - begun >= 0.15


def test_crash_word_crashes_at_the_start_of_its_prefill(make_engine):
    crashed = threading.Event()
    engine = make_engine(
        crash=crashed.set, crash_word="boom", slots=1, token_s=0.01
    )
    whole(start(engine, "r1", prompt="boomerang"))
    blocker = start(engine, "r2", max_tokens=10_000)
    crashing = start(engine, "r3", prompt="a boom b", max_tokens=1)
    assert crashing.status == 200
    assert not crashed.is_set()
    calls.call("DELETE", engine.address, "/runs/r2")
    assert crashed.wait(10)
    blocker.close()


def test_load_counts_queue_and_slots(make_engine):
    engine = make_engine(slots=1, token_s=0.01)
    held = [
        start(engine, f"r{number}", prompt="a b", max_tokens=10_000)
        for number in range(3)
    ]
    load = waiting.until(lambda: busy_load(engine))
    shown = (load["running"], load["queued"], load["prefill_tokens_queued"])
    assert shown == (1, 2, 4)
    assert load["slots"] == 1
    for answer in held:
        answer.close()


def busy_load(engine):
    load = calls.call("GET", engine.address, "/load").json()
    return load if load["running"] else None


def test_load_report_lags(make_engine):
    """An engine fills up, and its report still shows it as idle."""
    engine = make_engine(slots=1, token_s=0.01, load_lag_ms=3_600_000)
    answer = start(engine, "r1", max_tokens=10_000)
    waiting.until(lambda: engine.book.find("r1").length)
    late = calls.call("GET", engine.address, "/load").json()
    assert (late["running"], late["queued"]) == (0, 0)
    engine.set(load_lag_ms=0)
    now = busy_load(engine)
    assert now["running"] == 1
    assert late["time_ms"] <= now["time_ms"] - 3_600_000
    answer.close()
