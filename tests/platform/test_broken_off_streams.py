"""Streams that endpoints break off, as callers get them."""

from __future__ import annotations

import re

import pytest

from tests.platform import raw_answers
from tests.platform import steps
from tests.platform import system as systems

ENGINES = ("engine-1", "engine-2")
EVENTS = 3
PAUSE_MS = 300


def cut_streams(system, form, number=100):
    """Have all engines send streams in a form, cut short."""
    for name in ENGINES:
        system.workers[name].set(
            events=EVENTS,
            framing=form.framing,
            http_version=form.version,
            cuts=number,
            cut_at=form.cut,
            cut_by=form.ending,
        )


def test_unframed_stream_that_ends_inside_an_event_is_not_complete(system):
    """Guards against taking the end of the connection for that of a stream."""
    form = raw_answers.Form(
        raw_answers.Framing.CONNECTION, cut=raw_answers.Cut.IN_LATER_EVENT
    )
    cut_streams(system, form)
    received = system.receive("/draft/once/x", **systems.PROMPT)
    assert received.status == 200
    assert received.body == system.workers["engine-1"].event(1)
    assert not received.complete


@pytest.mark.parametrize("line_end", ["\n", "\r\n", "\r"])
def test_events_are_passed_on_as_they_arrive(system, line_end):
    """Guards against holding events back whose lines do not end with LF."""
    for name in ENGINES:
        system.workers[name].set(
            events=EVENTS, line_end=line_end, pause_ms=PAUSE_MS
        )
    received, (step,) = steps.receive(system, "/draft/x")
    assert received.complete
    first_event_ms = int(re.search(r"first=(\d+)ms", step)[1])
    assert first_event_ms < PAUSE_MS
