from __future__ import annotations

import pytest

from briarseam.forwarding import events


@pytest.mark.parametrize(
    ("data", "complete", "remainder"),
    [
        pytest.param(b"", b"", b"", id="empty"),
        pytest.param(b"id: 1\nda", b"", b"id: 1\nda", id="partial"),
        pytest.param(b"id: 1\n\n", b"id: 1\n\n", b"", id="one"),
        pytest.param(
            b"id: 1\n\nid: 2\n\nid",
            b"id: 1\n\nid: 2\n\n",
            b"id",
            id="two-and-partial",
        ),
    ],
)
def test_streams_are_split_at_event_boundaries(data, complete, remainder):
    assert events.split_complete(data) == (complete, remainder)


@pytest.mark.parametrize(
    ("data", "last_id"),
    [
        pytest.param(b"id: 1\ndata: x\n\nid:2\n\n", "2", id="last"),
        pytest.param(b"id: 1\n\ndata: y\n\n", "1", id="last-event-without-id"),
        pytest.param(b"data: id: 3\n\n", None, id="only-in-data"),
    ],
)
def test_last_id_is_found(data, last_id):
    assert events.last_id(data) == last_id
