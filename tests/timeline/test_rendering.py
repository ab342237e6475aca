from __future__ import annotations

import dataclasses
from xml.etree import ElementTree

import pytest

from briarseam.timeline import clock as clocks
from briarseam.timeline import event as events
from briarseam.timeline import kinds
from briarseam.timeline import messages
from briarseam.timeline import render_html
from briarseam.timeline import render_text
from briarseam.timeline import rows

START = clocks.stamp_of(1_700_000_000.0)
MS = 1000 << clocks.LOGICAL_BITS


def event(after_ms, kind, process="agent/a1", **options):
    return events.Event(START + after_ms * MS, process, kind, **options)


STORY = messages.Events(
    events=(
        event(0, "accepted", "entry/cph-hall-a-1:8080", request="r1"),
        event(
            12,
            "granted",
            request="r1",
            endpoint="draft-worker-3",
            organisation="chain-of-kitchens",
            fields={"run": "a81c22d0f09b4e1177aa0011", "recompute": 1240},
        ),
        event(2500, "refused", request="r1", fields={"reason": "deadline"}),
    ),
    sources=(messages.Source("agent/a1"),),
)


def test_table_tells_when_who_what_and_how_long_after():
    # An operator at a desk reads one line an event.
    lines = render_text.render(STORY, narrow=False).splitlines()
    assert lines[0] == (
        "22:13:20.000             entry/cph-hall-a-1:8080  accepted"
    )
    assert lines[1].split() == [
        "22:13:20.012",
        "+12.0ms",
        "agent/a1",
        "granted",
        "endpoint=draft-worker-3",
        "organisation=chain-of-kitchens",
        "run=a81c22d0f09b4e1177aa0011",
        "recompute=1240",
    ]
    assert "3 events of request r1 in 2500.0ms" in lines[-1]


def test_narrow_text_stays_in_40_columns_and_loses_nothing():
    # Somebody woken at night reads it on a phone.
    text = render_text.render(STORY, narrow=True)
    assert max(map(len, text.splitlines())) <= 40
    joined = "".join(text.split())
    for row in rows.build_rows(STORY):
        for word in (row.time, row.kind, row.process, *row.about):
            assert word in joined


@pytest.mark.parametrize("narrow", [False, True], ids=["wide", "narrow"])
def test_nothing_found_is_said(narrow):
    # An empty screen would leave open whether anybody answered.
    empty = messages.Events((), (messages.Source("agent/a1"),))
    assert render_text.render(empty, narrow) == "no events in 1 processes"


def test_what_is_missing_is_said():
    # One agent is cut off, one ring was overrun, and the limit was hit.
    # Without these lines each would look like a quiet time.
    sources = (
        messages.Source("agent/away", error="connect timed out"),
        messages.Source("agent/busy", dropped=7, oldest=START + 9 * MS),
        messages.Source("agent/old", dropped=7, oldest=START - MS),
    )
    found = dataclasses.replace(STORY, sources=sources, cut=4)
    assert rows.notes(found) == (
        "4 older events left out; narrow the question",
        "agent/away is missing: connect timed out",
        "agent/busy has all only since 2023-11-14T22:13:20Z",
    )


@pytest.mark.parametrize(
    ("kind", "result", "tone"),
    [
        pytest.param("granted", "", kinds.Tone.GOOD, id="granted"),
        pytest.param("ended", "done", kinds.Tone.GOOD, id="whole"),
        pytest.param("ended", "not-sent", kinds.Tone.WARNING, id="not sent"),
        pytest.param("ended", "lost-after-first", kinds.Tone.BAD, id="lost"),
        pytest.param("refused", "", kinds.Tone.BAD, id="refused"),
        pytest.param("retried", "", kinds.Tone.WARNING, id="retried"),
        pytest.param("unheard-of", "", kinds.Tone.PLAIN, id="unknown kind"),
    ],
)
def test_what_went_wrong_stands_out(kind, result, tone):
    # The eye must find the failed step first.
    assert kinds.tone_of(kind, result) is tone


def drawing_of(page):
    start = page.index("<svg viewBox")
    return ElementTree.fromstring(page[start : page.rindex("</svg>") + 6])


def test_page_is_whole_in_itself():
    # It is mailed to a colleague or opened on a phone without network.
    page = render_html.render(STORY, "request r1")
    assert page.startswith("<!doctype html>")
    assert "src=" not in page
    assert "href=" not in page
    assert "url(" not in page


def test_page_shows_each_event_in_its_lane():
    # A jump between lanes shows a message between processes.
    drawing = drawing_of(render_html.render(STORY, "request r1"))
    dots = drawing.findall("circle")
    assert len(dots) == 3
    assert dots[0].get("cx") != dots[1].get("cx") == dots[2].get("cx")
    heights = [float(dot.get("cy")) for dot in dots]
    assert heights == sorted(heights)
    assert dots[2].get("class") == "bad"
    words = "".join(drawing.itertext())
    assert "endpoint=draft-worker-3" in words


@pytest.mark.parametrize("processes", [1, 7, 32])
def test_words_fit_a_phone_beside_any_number_of_lanes(processes):
    # 390 points wide; text that ran out of the page could not be read.
    found = messages.Events(
        tuple(
            event(number, "granted", f"agent/{number}", endpoint="e" * 90)
            for number in range(processes)
        ),
        (),
    )
    drawing = drawing_of(render_html.render(found, "all"))
    for text in drawing.findall("text"):
        end = float(text.get("x"))
        end += len(text.text) * render_html.LETTER_WIDTH
        assert end <= render_html.WIDTH


def test_markup_in_an_id_is_only_text():
    # A caller chooses its idempotency key and an operator opens the page.
    # The caller's script must not run there.
    evil = "<script>alert(1)</script>"
    found = messages.Events(
        (event(0, evil, evil, request=evil, fields={evil: evil}),),
        (messages.Source(evil, error=evil),),
    )
    page = render_html.render(found, evil)
    assert "<script" not in page
    assert "default-src 'none'" in page
    drawing_of(page)


def test_page_of_nothing_is_a_page():
    # Asked for a request that nobody remembers.
    page = render_html.render(messages.Events((), ()), "request gone")
    assert "no events" in page
    drawing_of(page)


@pytest.mark.parametrize(
    ("words", "lines"),
    [
        pytest.param(["a=1", "b=2"], ["a=1 b=2"], id="fit"),
        pytest.param(["a=1", "b=23456"], ["a=1", "b=23456"], id="next line"),
        pytest.param(["a=1234567890"], ["a=123456", "7890"], id="too long"),
        pytest.param([], [], id="none"),
    ],
)
def test_ids_are_broken_only_when_longer_than_a_line(words, lines):
    # An operator copies a key off the phone's screen.
    assert rows.packed(words, 8) == lines
