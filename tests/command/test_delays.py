"""``briarseam delays`` run in process."""

from __future__ import annotations

import io
import json

import pytest
from tests.delays import made

from briarseam import run

LOG = [
    made.sent_prompt(1, "r1"),
    "  1.5 a "
    + made.ended(2, "r1", "e1:answered-200 first=700ms", memory_tokens=990),
    "no structured line {",
    made.refused(3, "r2", "unauthenticated"),
]


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "all.log"
    path.write_text("\n".join(LOG))
    return str(path)


def test_routes_are_listed_unless_asked_otherwise(log, capsys):
    assert run.run(["delays", log, "--json"]) == 0
    unknown, ask = json.loads(capsys.readouterr().out)
    assert (unknown["name"], unknown["refused"]) == ("(unknown)", 1)
    assert (ask["name"], ask["first_p50_ms"]) == ("ask", 700)


@pytest.mark.parametrize(
    "by", ["route", "second", "endpoint", "reason", "size"]
)
def test_every_table_fits_a_phone(log, capsys, by):
    assert run.run(["delays", log, "--by", by, "--narrow"]) == 0
    printed = capsys.readouterr().out
    assert printed
    assert max(map(len, printed.splitlines())) <= 40


PREDICTION = {
    "predicted_first_ms": 500,
    "endpoint_ratio": 1.25,
    "expected_late": 0.3,
}


@pytest.mark.parametrize("by", ["route", "second", "endpoint"])
def test_predicted_and_actual_times_are_compared(
    tmp_path, capsys, monkeypatch, by
):
    path = tmp_path / "all.log"
    sent = made.sent_prompt(1, "r1", **PREDICTION)
    path.write_text("\n".join([sent, *LOG[1:]]))
    monkeypatch.setenv("COLUMNS", "200")
    assert run.run(["delays", str(path), "--by", by, "--predicted"]) == 0
    _heading, row = capsys.readouterr().out.splitlines()
    cells = ["1", "500", "700", "1.40", "1.40", "1.25", "0.30"]
    assert row.split()[1:] == cells


@pytest.mark.parametrize("by", ["reason", "size"])
def test_groups_without_predictions_are_refused(log, capsys, by):
    assert run.run(["delays", log, "--by", by, "--predicted"]) == 2
    assert f"by {by}" in capsys.readouterr().err


def test_wide_table_has_a_heading_and_a_dash_for_nothing(
    log, capsys, monkeypatch
):
    monkeypatch.setenv("COLUMNS", "200")
    assert run.run(["delays", log, "--by", "second", "--window", "1"]) == 0
    heading, first, last = capsys.readouterr().out.splitlines()
    assert heading.startswith("second  sends  unanswered  first ms p50")
    assert first.split()[:4] == ["0", "1", "0", "700"]
    assert last.split()[:4] == ["2", "0", "0", "-"]


def test_logs_may_come_on_standard_input(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LOG)))
    assert run.run(["delays", "--by", "reason"]) == 0
    assert "unauthenticated" in capsys.readouterr().out


def test_lines_that_cannot_be_read_are_told(tmp_path, capsys):
    path = tmp_path / "all.log"
    path.write_text("\n".join([LOG[0][:-5], *LOG[1:]]))
    assert run.run(["delays", str(path)]) == 0
    assert "1 lines about requests" in capsys.readouterr().err


def test_logs_without_a_request_are_told(tmp_path, capsys):
    path = tmp_path / "all.log"
    path.write_text("")
    assert run.run(["delays", str(path)]) == 1
    assert "no line about a request" in capsys.readouterr().err


@pytest.mark.parametrize("window", ["0", "-1", "inf", "nan", "x"])
def test_bad_windows_are_refused(log, capsys, window):
    assert run.run(["delays", log, f"--window={window}"]) == 2
    assert "--window" in capsys.readouterr().err
