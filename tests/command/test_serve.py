"""``briarseam serve`` run in process."""

from __future__ import annotations

import pytest
from tests.settings import serve_text

from briarseam import run
from briarseam.settings import serving


@pytest.mark.parametrize(
    ("text", "line"),
    [
        pytest.param(
            serve_text.VALID.replace(
                "callers = 127.0.0.1:1", "callers = there"
            ),
            "settings.ini:7 [listen] callers: expected",
            id="bad-address",
        ),
        pytest.param(
            serve_text.VALID.replace("zone = a\n", ""),
            "settings.ini:2 [instance] zone: expected",
            id="missing",
        ),
        pytest.param(
            serve_text.VALID + "[bounds]\nretry_ratio = -1\n",
            "settings.ini:15 [bounds] retry_ratio: expected",
            id="out-of-bounds",
        ),
        pytest.param(
            serve_text.VALID + "[bonds]\n",
            "settings.ini:14 [bonds]: expected one of",
            id="unknown-section",
        ),
    ],
)
def test_bad_settings_end_with_one_line_that_names_the_place(
    tmp_path, capsys, text, line
):
    path = tmp_path / "settings.ini"
    path.write_text(text)
    assert run.run(["serve", "--settings", str(path)]) == 2
    (told,) = capsys.readouterr().err.splitlines()
    assert line in told


def test_missing_variable_is_named(capsys, monkeypatch):
    monkeypatch.delenv("NOT_SET", raising=False)
    assert run.run(["serve", "--settings-from", "NOT_SET"]) == 2
    (told,) = capsys.readouterr().err.splitlines()
    assert "NOT_SET" in told


def test_bounds_of_a_large_deployment_are_taken(tmp_path):
    """A deployment of 85 instances allows 210 sends to second endpoints.
    No process started there, since the settings took 100 at most.
    """
    path = tmp_path / "settings.ini"
    path.write_text(serve_text.VALID + "[bounds]\nretry_slack = 210\n")
    assert serving.load(str(path)).bounds.retry_slack == 210


# Needed by other subcommands, or by nothing at a start.  Some of these load
# for longer than all of the start: matplotlib 0.3 s, cherrypy 0.1 s.
NOT_AT_START = (
    "briarseam.bench",
    "briarseam.compose.agent",
    "briarseam.compose.entry",
    "briarseam.configuration.schema",
    "briarseam.testing",
    "certifi",
    "cherrypy",
    "matplotlib",
    "numpy",
    "unittest",
    "yaml",
)
LOADED = """\
import sys
from briarseam import command
command.load(command.find(["serve"]))
from briarseam.compose import node
print(*set(sys.modules).intersection(sys.argv[1:]))
"""


def test_start_loads_nothing_that_serving_does_not_need(start_python):
    """All instances lose their power at once.  When it is back nobody serves
    until the first process has loaded its modules, which is most of its
    processor time from the start to the first answer: 331 ms before, and 301
    ms with no collections, one parser and messages as structs (medians of
    121 starts each, in turn, on a busy machine, by bench/start_cost.py).
    """
    process = start_python("-c", LOADED, *NOT_AT_START)
    out, errors = process.communicate()
    assert errors == b""
    assert out.split() == []
