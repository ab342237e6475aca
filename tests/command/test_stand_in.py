from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest
import urllib3

from briarseam import run

SOURCE = pathlib.Path(__file__).parents[2] / "src"


@pytest.fixture
def start():
    """Start ``briarseam stand-in`` as a process; give it and its address."""
    started = []

    def start_process(*argv):
        process = subprocess.Popen(
            [sys.executable, "-m", "briarseam", "stand-in", *argv],
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(SOURCE)},
            text=True,
        )
        started.append(process)
        return process, process.stdout.readline().split()[-1]

    yield start_process
    for process in started:
        process.kill()
        process.wait()
        process.stdout.close()


def post_run(url, **request):
    return urllib3.request(
        "POST",
        url,
        body=json.dumps({"model": "m", **request}),
        preload_content=False,
        retries=False,
    )


def test_runs_until_told_to_end(start):
    process, address = start("store", "--set", "capacity=7")
    answer = urllib3.request("GET", f"http://{address}/state")
    assert answer.json()["capacity"] == 7
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0


def test_crash_word_ends_the_engine_with_its_other_runs(start):
    """An engine dies of one prompt, and every caller on it sees a cut.

    The second caller asked nothing wrong: its stream must end as a lost
    connection, without ``done`` and without an error of its own.
    """
    process, address = start(
        "engine", "--model", "m=v1", "--set", "crash_word=boom"
    )
    url = f"http://{address}/runs"
    innocent = post_run(url, run_id="a", prompt="x", max_tokens=9999)
    received = innocent.stream()
    assert b"start" in next(received)
    with pytest.raises(urllib3.exceptions.HTTPError):
        crashing = post_run(url, run_id="b", prompt="a boom", max_tokens=1)
        list(crashing.stream())
    with pytest.raises(urllib3.exceptions.HTTPError):
        list(received)
    assert process.wait(10) == 70


@pytest.mark.parametrize(
    ("argv", "expected"),
    [
        (["log", "--set", "capacity=1"], "unknown switch 'capacity'"),
        (["store", "--set", "capacity=x"], "$.capacity"),
        (["store", "--set", "capacity=-1"], "$.capacity"),
        (["store", "--listen", "localhost:0"], "expected IP:PORT"),
        (["store", "--set", "capacity"], "expected NAME=VALUE"),
    ],
    ids=["unknown", "type", "range", "address", "form"],
)
def test_bad_options_leave_with_2(argv, expected, capsys):
    assert run.run(["stand-in", *argv]) == 2
    assert expected in capsys.readouterr().err


def test_help_lists_switches_with_defaults(capsys):
    assert run.run(["stand-in", "--help"]) == 0
    shown = " ".join(capsys.readouterr().out.split())
    assert "prefill_s_per_piece=0.2" in shown
    assert "link_bytes_per_s=0" in shown
