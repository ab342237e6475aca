from __future__ import annotations

import io

import structlog

from briarseam import logs
from briarseam.settings import sections
from briarseam.timeline import lines
from briarseam.timeline import ring as rings


def test_a_line_becomes_an_event_and_is_still_written():
    # A member falls silent.  Its slice logs the change of state; operators
    # see it on the time line too, without the free text of the line.
    ring = rings.Ring("agent/a1")
    stream = io.StringIO()
    logs.set_up(sections.Logging(), "agent/a1", stream, lines.LineNotes(ring))
    try:
        log = structlog.get_logger("briarseam.membership")
        log.info("member_state", peer="b", now="gone", kind="x", endpoint=7)
        log.debug("not_written")
        log.warning("store_unavailable", detail="it said: some words")
    finally:
        structlog.reset_defaults()
    first, second = ring.since()
    assert (first.kind, first.endpoint) == ("member-state", "7")
    assert first.fields == {
        "peer": "b",
        "now": "gone",
        "kind": "x",
        "level": "info",
    }
    assert second.fields["detail"] == "text:19"
    assert stream.getvalue().count("\n") == 2
    assert "some words" in stream.getvalue()
