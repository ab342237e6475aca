from __future__ import annotations

import dataclasses

import pytest

from briarseam.admission import messages
from briarseam.timeline import requests
from briarseam.timeline import ring as rings
from briarseam.wire import codec

ASK = messages.Admit("d", "m", "s", (), 1200, 8, 5, 4000, request="r1")
CALL = messages.AdmitCall(
    "d", "booking", "book", "k1", b"", 1000, request="r2"
)
GRANT = messages.Granted("run1", "id", "", "o1", "e1", "127.0.0.1:1")
DONE = messages.RunEnded("run1", "", "e1", messages.RunResult.DONE, 8)


@pytest.fixture
def ring():
    return rings.Ring("p")


def told(ring):
    return [(event.kind, event.request) for event in ring.since()]


def test_entry_tells_a_requests_whole_way(ring):
    # A prompt loses its first endpoint before and its second after the
    # first token.  The operator sees each try under the request's name.
    observer = requests.EntryObserver(ring)
    observer.on_request(ASK)
    observer.on_reply(ASK, GRANT)
    lost = messages.RunResult.LOST_BEFORE_FIRST
    observer.on_request(messages.RunEnded("run1", "", "e1", lost))
    second = dataclasses.replace(ASK, lost=("e1",))
    observer.on_request(second)
    observer.on_reply(
        second, dataclasses.replace(GRANT, run_id="run2", endpoint="e2")
    )
    observer.on_request(messages.RunStarted("run2", 1000, 12.34))
    third = dataclasses.replace(
        ASK, lost=("e1", "e2"), continues="id", passed_on=3
    )
    observer.on_request(third)
    assert told(ring) == [
        ("accepted", "r1"),
        ("ended", "r1"),
        ("retried", "r1"),
        ("first-token", "r1"),
        ("continued", "r1"),
    ]
    accepted, _, again, first, _ = ring.since()
    assert accepted.fields["prompt_tokens"] == 1200
    assert again.endpoint == "e1"
    assert first.fields["run"] == "run2"


def test_end_stands_once_however_often_it_is_reported(ring):
    # The agent is away, and the entry reports the end again and again.
    observer = requests.EntryObserver(ring)
    observer.on_reply(ASK, GRANT)
    for _ in range(3):
        observer.on_request(DONE)
    assert told(ring) == [("ended", "r1")]


@pytest.mark.parametrize(
    ("reply", "kind", "fields"),
    [
        pytest.param(GRANT, "granted", {"run": "run1"}, id="granted"),
        pytest.param(
            messages.Refused("no", "deadline", "too late", 2.5),
            "refused",
            {"reason": "deadline", "ran": "no", "retry_after_s": 2.5},
            id="refused",
        ),
        pytest.param(
            messages.Refused("unknown", "outcome-unknown", "", None),
            "refused",
            {"ran": "unknown", "retry_after_s": 0.0},
            id="refused for good",
        ),
        pytest.param(
            messages.Replayed(200, b"secret", True, ""),
            "replayed",
            {"status": 200, "whole": True},
            id="replayed",
        ),
        pytest.param(
            codec.Failed("error", "ValueError: secret"),
            "refused",
            {"reason": "error"},
            id="handler failed",
        ),
    ],
)
def test_agent_tells_each_decision(ring, reply, kind, fields):
    # What the agent decided must be there when its entry is gone.
    observer = requests.AgentObserver(ring)
    observer.on_request(CALL)
    observer.on_reply(CALL, reply)
    admitting, decided = ring.since()
    assert admitting.fields["key"] == "k1"
    assert (decided.kind, decided.request) == (kind, "r2")
    assert fields.items() <= decided.fields.items()
    assert "secret" not in str(decided)


def test_agent_that_does_not_answer_shows_at_the_entry(ring):
    # The agent is dead: only the entry can tell why the caller was refused.
    observer = requests.EntryObserver(ring)
    observer.on_request(ASK)
    observer.on_reply(ASK, codec.Failed("lost", "timed out"))
    assert told(ring) == [("accepted", "r1"), ("refused", "r1")]


def test_agent_tells_how_a_run_was_settled(ring):
    # Its entry died after reporting the end.
    observer = requests.AgentObserver(ring)
    observer.on_reply(ASK, GRANT)
    observer.on_request(DONE)
    observer.on_request(DONE)
    assert told(ring) == [("granted", "r1"), ("settled", "r1")]
    assert ring.since()[1].fields["result"] == "done"


def test_memory_of_runs_is_bounded():
    # Runs whose end is never told must not grow the process.
    runs = requests.Runs(capacity=3)
    for number in range(10):
        runs.add(f"run{number}", "r")
    assert list(runs.requests) == ["run7", "run8", "run9"]
    assert runs.pop("run1") is None


def test_what_other_slices_note_on_the_way_is_about_the_request(ring):
    # A claim is made while the agent decides, by a slice that knows no
    # request names; what the thread does next is not about it any more.
    observer = requests.AgentObserver(ring)
    observer.on_request(CALL)
    ring.note("claimed", key="k1")
    observer.on_reply(CALL, GRANT)
    ring.note("member")
    assert told(ring)[1:] == [
        ("claimed", "r2"),
        ("granted", "r2"),
        ("member", ""),
    ]
