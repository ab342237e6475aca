"""Streams that endpoints break off, as callers get them."""

from __future__ import annotations

from tests.platform import raw_answers
from tests.platform import system as systems

ENGINES = ("engine-1", "engine-2")
EVENTS = 3


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
