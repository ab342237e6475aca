from __future__ import annotations

import threading

import hypothesis
from hypothesis import strategies
import pytest

from briarseam.timeline import cleaning
from briarseam.timeline import event as events
from briarseam.timeline import ring as rings


def test_events_come_back_in_order_with_their_fields():
    # What a process notes is what an operator later sees, oldest first.
    ring = rings.Ring("agent-1")
    ring.note("admitted", request="r1", organisation="o1", tokens=1200)
    ring.note("granted", request="r1", endpoint="e1", wait_ms=2.5, hit=True)
    first, second = ring.since()
    assert first.process == "agent-1"
    assert first.fields == {"tokens": 1200}
    assert second.fields == {"wait_ms": 2.5, "hit": True}
    assert first.clock < second.clock
    assert ring.since(first.clock) == (second,)


@pytest.mark.parametrize(
    ("wanted", "kinds"),
    [
        pytest.param({"request": "r1"}, ["a", "c"], id="request"),
        pytest.param({"endpoint": "e1"}, ["b", "c"], id="endpoint"),
        pytest.param({"path": "models/m1"}, ["d"], id="path"),
        pytest.param({"path": "models"}, ["d", "e"], id="subtree"),
        pytest.param({"path": "models/m"}, [], id="not a prefix of a name"),
        pytest.param(
            {"request": "r1", "endpoint": "e1"}, ["c"], id="both at once"
        ),
        pytest.param({}, ["a", "b", "c", "d", "e"], id="all"),
    ],
)
def test_selection(wanted, kinds):
    # An operator asks by request, path or endpoint.
    ring = rings.Ring("p")
    ring.note("a", request="r1")
    ring.note("b", endpoint="e1")
    ring.note("c", request="r1", endpoint="e1")
    ring.note("d", path="models/m1")
    ring.note("e", path="models/m10")
    assert [event.kind for event in ring.select(**wanted)] == kinds


def test_oldest_go_first_and_the_loss_is_told():
    # A busy process overwrites its oldest events; the reader must be able
    # to tell a quiet time from a forgotten one.
    ring = rings.Ring("p", capacity=3)
    for number in range(5):
        ring.note("tick", number=number)
    found = ring.selected(events.Filter())
    assert [event.fields["number"] for event in found.events] == [2, 3, 4]
    assert found.dropped == 2
    assert found.oldest == found.events[0].clock


def test_memory_is_bounded_in_bytes_whatever_is_noted():
    # Long ids and many fields may not grow the process past its bound.
    ring = rings.Ring("p", capacity=10_000, max_bytes=50_000)
    wide = {f"field{n}": "x" * 90 for n in range(40)}
    for _ in range(500):
        ring.note("wide", request="r" * 5000, **wide)
    assert ring.size_bytes <= 50_000 + 50_000 // rings.KEPT_PART
    held = [*ring.recent.packed, *ring.kept.packed]
    sizes = [len(one) + rings.OVERHEAD_BYTES for one in held]
    assert sum(sizes) == ring.size_bytes
    assert ring.dropped > 0


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        pytest.param("the cold store was at 9 C", "text:25", id="prompt"),
        pytest.param("line\nline", "text:9", id="lines"),
        pytest.param("x" * 200, "text:200", id="long"),
        pytest.param("run-0a1b", "run-0a1b", id="id"),
        pytest.param(b"secret", "bytes", id="bytes"),
        pytest.param(["secret"], "list", id="list"),
        pytest.param(None, "NoneType", id="none"),
        pytest.param("\ud800", "text:1", id="half a pair"),
        pytest.param(float("inf"), "inf", id="infinite"),
        pytest.param(10**30, cleaning.MAX_COUNT, id="huge count"),
    ],
)
def test_words_of_a_prompt_are_never_kept(value, shown):
    # A handler notes an error text that quotes a prompt.  Operators of
    # other teams read the time line, so only its length may show.
    ring = rings.Ring("p")
    ring.note("failed", detail=value)
    assert ring.since()[0].fields == {"detail": shown}


def test_noting_never_fails_whatever_the_words():
    # A request whose header holds half a surrogate pair, or a log line
    # with a field named like a parameter, must not fail of being noted.
    ring = rings.Ring("p")
    ring.note("\ud800", path="\ud800", **{"\ud800": 1, "kind": 2, "self": 3})
    (event,) = ring.since()
    assert event.fields["kind"] == 2
    assert event.fields["self"] == 3


def test_threads_note_at_once_without_loss_or_disorder():
    # One ring serves every connection thread of a process.
    ring = rings.Ring("p", capacity=10_000)

    def work(name: str) -> None:
        for number in range(500):
            ring.note("tick", request=name, number=number)

    threads = [
        threading.Thread(target=work, args=(f"r{n}",)) for n in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    stamps = [event.clock for event in ring.since()]
    assert len(stamps) == 2000
    assert stamps == sorted(set(stamps))


some_words = strategies.sampled_from(["", "a", "a/b", "ab", "é", "a b", "b"])


@hypothesis.given(
    noted=strategies.lists(
        strategies.fixed_dictionaries(
            {
                "request": some_words,
                "path": some_words,
                "endpoint": some_words,
                "run": some_words,
            }
        ),
        max_size=6,
    ),
    wanted=strategies.builds(
        events.Filter,
        request=some_words,
        path=some_words,
        endpoint=some_words,
        also=strategies.lists(some_words, max_size=2).map(tuple),
    ),
)
def test_passing_over_packed_events_loses_none(noted, wanted):
    # Events are searched in their packed form first, for speed.  One that
    # was passed over wrongly would be missing from the operator's screen.
    ring = rings.Ring("p")
    for words in noted:
        ring.note("x", **words)
    every = ring.since()
    found = ring.selected(wanted).events
    assert found == tuple(one for one in every if wanted.matches(one))


def test_what_is_asked_for_hours_later_outlives_a_busy_time():
    # A booking was lost and a change published; then a thousand requests
    # went well.  The operator asks about the first two.
    ring = rings.Ring("p", capacity=20)
    ring.note("configuration-accepted", path="models/m1")
    ring.note("accepted", request="booking")
    ring.note("accepted", request="prompt")
    ring.keep("booking")
    ring.note("ended", request="booking")
    for number in range(1000):
        ring.note("accepted", request=f"r{number}")
    assert len(ring.select(path="models/m1")) == 1
    kinds = [event.kind for event in ring.select(request="booking")]
    assert kinds == ["accepted", "ended"]
    assert ring.select(request="prompt") == ()
    found = ring.selected(events.Filter())
    stamps = [event.clock for event in found.events]
    assert stamps == sorted(stamps)
    assert found.oldest == found.events[3].clock
    assert found.dropped == 1004 - len(ring)


def test_what_is_kept_longer_is_bounded_too():
    # Everything goes wrong for a long time.
    ring = rings.Ring("p", capacity=20)
    for number in range(5000):
        ring.keep(f"r{number}")
        ring.note("retried", request=f"r{number}")
        ring.note("member")
    assert len(ring.recent.packed) == 20
    assert len(ring.kept.packed) == 5
    assert len(ring.marks) == rings.MAX_MARKS


@pytest.mark.parametrize(
    "name",
    [
        pytest.param("é" * 90, id="wide"),
        pytest.param("x" * 400, id="long"),
        pytest.param("\ud800", id="half a pair"),
    ],
)
def test_any_name_of_a_request_can_be_kept(name):
    # Names come from keys and headers too.
    ring = rings.Ring("p", capacity=4)
    ring.keep(name)
    ring.note("accepted", request=name)
    for _ in range(4):
        ring.note("accepted", request="other")
    assert len(ring.kept.packed) == 1
    assert ring.since()[0].kind == "accepted"
