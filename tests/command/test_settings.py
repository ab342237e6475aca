from __future__ import annotations

import json

import pytest

from briarseam import run


def test_check_prints_values_with_sources(write, valid, capsys):
    path = write(valid)
    assert run.run(["settings", "check", path]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].split() == ["setting", "value", "source"]
    rows = {line.split()[0]: line.split()[1:] for line in lines[1:]}
    assert rows["instance.name"] == ["cph-1", f"{path}:2"]
    assert rows["claims.batch_ms"] == ["20", "default"]


def test_check_prints_json(write, valid, capsys):
    path = write(valid)
    assert run.run(["settings", "check", path, "--json"]) == 0
    rows = json.loads(capsys.readouterr().out)
    assert rows[0] == {
        "section": "instance",
        "key": "name",
        "value": "cph-1",
        "source": f"{path}:2",
    }


@pytest.mark.parametrize("by_terminal", [True, False], ids=["by", "asked"])
def test_narrow_output_stays_within_40_columns(
    write, valid, capsys, monkeypatch, by_terminal
):
    monkeypatch.setenv("COLUMNS", "44" if by_terminal else "120")
    argv = ["settings", "check", write(valid)]
    assert run.run(argv if by_terminal else [*argv, "--narrow"]) == 0
    shown = capsys.readouterr().out
    assert max(map(len, shown.splitlines())) <= 40
    assert "  value: 127.0.0.1:8001, 127.0.0.1:8002" in shown


def test_bad_file_leaves_with_2_and_one_line(write, valid, capsys):
    path = write(valid.replace("250ms", "250 fortnights"))
    assert run.run(["settings", "check", path]) == 2
    assert capsys.readouterr().err == (
        f"briarseam: {path}:11 [agent] heartbeat_interval_ms: expected one "
        "of the units ms, s, m, h, got '250 fortnights'\n"
    )
