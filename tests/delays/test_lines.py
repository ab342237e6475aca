from __future__ import annotations

import json

from tests.delays import made

from briarseam.delays import lines


def test_lines_of_instances_are_put_in_order_and_others_passed_over():
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


def test_lines_cut_off_or_without_a_field_are_counted():
    """An instance is killed as it writes, and an older one in the logs
    wrote no steps.  The table tells how much it leaves out.
    """
    whole = json.loads(made.ended(2, "r", "e1:answered-200"))
    del whole["steps"]
    read = lines.read([made.sent(1, "r")[:-9], json.dumps(whole)])
    assert (read.lines, read.undecodable) == ([], 2)


def test_a_path_that_names_an_event_is_not_taken_for_one():
    text = made.line(1, "caller_gone", "r", detail='"request_sent"')
    assert lines.read([text]).lines == []
