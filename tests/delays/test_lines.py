from __future__ import annotations

import json

from tests.delays import made

from briarseam.delays import lines


def test_request_lines_are_sorted_and_others_skipped():
    read = lines.read(
        [
            made.ended(2, "r", "e1:answered-200"),
            made.line(1.5, "endpoint_found", "", endpoint="e1"),
            made.sent(1, "r"),
        ]
    )
    assert [type(line) for line in read.lines] == [
        lines.RequestSent,
        lines.RequestEnded,
    ]
    assert read.undecodable == 0


def test_truncated_and_incomplete_lines_are_counted():
    """An instance that is killed while it writes leaves a truncated line,
    and one of an older version may omit fields.  Without the count, the
    table would leave them out unnoticed.
    """
    incomplete = json.loads(made.ended(2, "r", "e1:answered-200"))
    del incomplete["steps"]
    read = lines.read([made.sent(1, "r")[:-9], json.dumps(incomplete)])
    assert (read.lines, read.undecodable) == ([], 2)


def test_event_name_in_another_field_is_not_an_event():
    text = made.line(1, "caller_gone", "r", detail='"request_sent"')
    assert lines.read([text]).lines == []
