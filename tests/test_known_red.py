from __future__ import annotations

import pathlib

import pytest

from tests import known_red

pytest_plugins = ["pytester"]

ROOT = pathlib.Path(__file__).parent.parent

CONFTEST = """
from tests import known_red

def pytest_configure(config):
    entries = known_red.read(config.rootpath / known_red.FILE_NAME)
    config.pluginmanager.register(known_red.Plugin(config, entries))
"""
SUITE = """
import pytest

def test_fails():
    assert 1 == 2

def test_passes():
    pass

@pytest.mark.skip
def test_skipped():
    pass

@pytest.fixture
def broken():
    raise OSError("broken")

def test_broken(broken):
    pass

@pytest.mark.parametrize("word", ["a|b"])
def test_words(word):
    assert not word
"""
FAILS = "test_suite.py::test_fails | no fault tolerance | 9"
BROKEN = "test_suite.py::test_broken | no fixture | 9"
WORDS = "test_suite.py::test_words[a|b] | no words | 9"
PASSES = "test_suite.py::test_passes | gone fault | 9"
SKIPPED = "test_suite.py::test_skipped | skipped fault | 9"
GONE = "test_suite.py::test_gone | renamed | 9"
ALL_RED = (FAILS, BROKEN, WORDS)


@pytest.fixture
def run_listed(pytester, monkeypatch):
    monkeypatch.setenv("PYTHONPATH", str(ROOT))
    monkeypatch.delenv("PYTEST_ADDOPTS", raising=False)
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_suite=SUITE)

    def run(lines, *arguments):
        text = "# header\n\n" + "\n".join(lines) + "\n"
        (pytester.path / "KNOWN-RED.txt").write_text(text)
        return pytester.runpytest(*arguments)

    return run


@pytest.mark.parametrize("arguments", [[], ["-n2"]], ids=["one", "workers"])
def test_listed_failures_are_printed_and_pass_the_run(run_listed, arguments):
    result = run_listed(ALL_RED, *arguments)
    result.assert_outcomes(xfailed=3, passed=1, skipped=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        [
            "*known red*",
            "test_suite.py::test_fails: no fault tolerance (issue 9)",
            "test_suite.py::test_broken: no fixture (issue 9)",
            "test_suite.py::test_words?a|b?: no words (issue 9)",
        ]
    )


def test_failures_that_are_not_listed_fail_the_run(run_listed):
    result = run_listed([])
    result.assert_outcomes(failed=2, errors=1, passed=1, skipped=1)
    assert result.ret == 1


@pytest.mark.parametrize("arguments", [[], ["-n2"]], ids=["one", "workers"])
@pytest.mark.parametrize(
    ("line", "word"),
    [(PASSES, "passes"), (SKIPPED, "was skipped")],
    ids=["passes", "skipped"],
)
def test_a_listed_test_that_does_not_fail_fails_the_run(
    run_listed, line, word, arguments
):
    result = run_listed([FAILS, BROKEN, line], "-k", "not words", *arguments)
    assert result.ret == 1
    result.stdout.fnmatch_lines(
        [f"*is listed in KNOWN-RED.txt but {word}: remove the line"]
    )


@pytest.mark.parametrize("name", ["test_passes", "test_fails"])
def test_an_intermittent_fault_gives_the_same_verdict_either_way(
    run_listed, name
):
    """A fault shows in one run of two; the list must not make the verdict
    of CI depend on which.
    """
    line = f"test_suite.py::{name} | intermittent, a race | 9"
    result = run_listed([line], "-k", name)
    assert result.ret == 0
    result.stdout.fnmatch_lines([f"*{name}: intermittent, a race (issue 9)"])


def test_an_intermittent_fault_that_is_skipped_fails_the_run(run_listed):
    """Skipped, it shows nothing, whatever kind of fault it is."""
    line = "test_suite.py::test_skipped | intermittent, a race | 9"
    assert run_listed([line], "-k", "test_skipped").ret != 0


@pytest.mark.parametrize("arguments", [[], ["-n2"]], ids=["one", "workers"])
def test_a_line_that_names_no_test_fails_the_whole_run(
    run_listed, pytester, arguments
):
    """A listed test is renamed; its line stays for good and takes up one of
    three places, while the renamed test fails unlisted or not at all.
    """
    pytester.makepyfile(test_suite="def test_fails():\n    assert 1 == 2\n")
    listed = [FAILS, GONE]
    narrowed = run_listed(listed, "-k", "fails", *arguments)
    assert narrowed.ret == 0
    whole = run_listed(listed, *arguments)
    assert whole.ret == 1
    whole.stdout.fnmatch_lines(
        ["ERROR: KNOWN-RED.txt names no test: test_suite.py::test_gone"]
    )


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ([*ALL_RED, GONE], "*lists 4 tests, at most 3"),
        ([FAILS, FAILS], "*KNOWN-RED.txt:4: listed twice"),
        (["test_suite.py::test_fails | why"], "*KNOWN-RED.txt:3: expected*"),
        (["a | | 9"], "*KNOWN-RED.txt:3: expected test id | cause | issue"),
    ],
    ids=["too-many", "twice", "no-issue", "no-cause"],
)
def test_a_malformed_list_stops_the_run(run_listed, lines, message):
    result = run_listed(lines)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([message])


def test_tests_of_misbehaving_clients_do_not_count_towards_the_cap(tmp_path):
    entries = [
        f"tests/clients/test_x.py::test_{number} | fault | 9"
        for number in range(known_red.MAX_ENTRIES + 1)
    ]
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("\n".join(entries))
    assert len(known_red.read(path)) == len(entries)


def test_run_of_the_tests_without_workers_knows_all_names(run_listed):
    result = run_listed([GONE, FAILS], "-m", known_red.WITHOUT_WORKERS)
    assert result.ret != 0
    result.stdout.fnmatch_lines(["ERROR: KNOWN-RED.txt names no test: *gone"])
    assert "names no test: test_suite.py::test_fails" not in str(result.stdout)
