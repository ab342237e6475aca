"""``briarseam explain`` run in process."""

from __future__ import annotations

import io
import json

import pytest

from briarseam import run


def line(second, process, event, **fields):
    document = {
        "timestamp": f"2026-01-01T00:00:{second:02}Z",
        "process": process,
        "event": event,
    }
    return json.dumps(document | fields)


LOG = [
    line(1, "a", "configuration_in_force", version=7),
    line(2, "b", "store_lost", topic="t"),
    line(4, "b", "request_sent", request="r1", endpoint="e2"),
    line(3, "a", "request_sent", request="r1", endpoint="e1"),
    line(3, "a", "request_sent", request="r2", endpoint="e9"),
    "no structured line {",
    "   7.25 b " + line(5, "b", "request_ended", request="r1", outcome="ok"),
]


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "all.log"
    path.write_text("\n".join(LOG))
    return str(path)


def test_lines_of_all_instances_stand_in_order_after_what_was_believed(
    log, capsys
):
    assert run.run(["explain", "r1", log, "--json"]) == 0
    events = [
        (row["instance"], row["event"])
        for row in json.loads(capsys.readouterr().out)
    ]
    assert events == [
        ("a", "configuration_in_force"),
        ("b", "store_lost"),
        ("a", "request_sent"),
        ("b", "request_sent"),
        ("b", "request_ended"),
    ]


def test_story_fits_a_phone(log, capsys):
    assert run.run(["explain", "r1", log, "--narrow"]) == 0
    printed = capsys.readouterr().out
    assert "details: endpoint=e1" in printed
    assert max(map(len, printed.splitlines())) <= 40


def test_logs_may_come_on_standard_input(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LOG)))
    assert run.run(["explain", "r2"]) == 0
    assert "e9" in capsys.readouterr().out


def test_unknown_request_is_told(log, capsys):
    assert run.run(["explain", "r3", log]) == 1
    assert "no line about request r3" in capsys.readouterr().err


def test_log_that_cannot_be_read_is_named(capsys):
    assert run.run(["explain", "r1", "/nowhere/x.log"]) == 1
    assert "/nowhere/x.log" in capsys.readouterr().err
