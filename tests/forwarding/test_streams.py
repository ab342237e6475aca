"""Streams that are passed on from one run, or continued by another."""

from __future__ import annotations

import pytest

from briarseam.forwarding import events
from briarseam.forwarding import streams
from tests.forwarding import sending

HEAD = sending.head_of(200, [])


def relay(data, progress, exchange=None):
    """Pass on the stream of one run."""
    relaying = streams.StreamRelay(
        exchange or sending.Exchange(), HEAD, progress, lambda: None
    )
    relaying.feed(data)


@pytest.mark.parametrize(
    ("data", "last_id", "can_resume"),
    [
        pytest.param(b"id: 4\ndata: x\n\n", "4", True, id="id"),
        pytest.param(b"data: x\n\n", "3", False, id="no-id"),
        pytest.param(b"id\ndata: x\n\n", "3", False, id="empty-id"),
        pytest.param(
            b"id: 4\ndata: x\n\ndata: y\n\n", "4", False, id="then-no-id"
        ),
        pytest.param(
            b"data: x\n\nid: 4\ndata: y\n\n", "4", True, id="then-id"
        ),
        pytest.param(b": kept alive\n\n", "3", True, id="comment"),
        pytest.param(b"retry: 5\n\n", "3", True, id="without-data"),
        pytest.param(b"id: 4\n\n", "4", True, id="id-without-data"),
    ],
)
def test_stream_is_resumed_only_after_an_event_with_an_id(
    data, last_id, can_resume
):
    """Guards against events that come twice in a resumed stream."""
    progress = streams.Progress(last_event_id="3")
    relay(data, progress)
    assert progress.last_event_id == last_id
    assert progress.can_resume is can_resume


@pytest.mark.parametrize(
    ("data", "continues"),
    [
        pytest.param(b"id: 4\ndata: x\n\n", True, id="next"),
        pytest.param(b"id: 9\ndata: x\n\n", True, id="later"),
        pytest.param(b": a\n\nid: 4\ndata: x\n\n", True, id="comment-first"),
        pytest.param(b"id: 3\ndata: x\n\n", False, id="same"),
        pytest.param(b"id: 1\ndata: x\n\n", False, id="starts-over"),
        pytest.param(b"data: x\n\n", False, id="no-id"),
        pytest.param(
            b"id: 4\ndata: x\n\nid: 4\ndata: x\n\n", False, id="repeats"
        ),
    ],
)
def test_continued_stream_does_not_repeat_events(data, continues):
    """Guards against a run that ignores where it should continue."""
    progress = streams.Progress(last_event_id="3", events_sent=True)
    exchange = sending.Exchange()
    if continues:
        relay(data, progress, exchange)
        assert exchange.sent == [data]
        return
    with pytest.raises(streams.NotContinuedError):
        relay(data, progress, exchange)
    assert exchange.sent == []


@pytest.mark.parametrize(
    ("event_id", "previous", "expected"),
    [
        ("10", "9", True),
        ("9", "10", False),
        ("b", "a", True),
        ("a", "a", False),
        ("9" * 5000, "1", True),
        ("5", None, True),
    ],
)
def test_ids_tell_whether_an_event_follows(event_id, previous, expected):
    assert streams.follows(event_id, previous) is expected


def test_first_run_is_passed_on_with_any_ids():
    """Guards against changes of a stream that one endpoint sends."""
    data = b"id: 2\ndata: x\n\nid: 1\ndata: y\n\ndata: z\n\n"
    exchange = sending.Exchange()
    progress = streams.Progress(last_event_id="12")
    relay(data, progress, exchange)
    assert exchange.sent == [data]
    assert events.Splitter().feed(data)[-1].id is None
