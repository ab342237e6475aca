"""Pytest plugin for KNOWN-RED.txt: tests that fail for a known fault.

A listed test that fails is reported as an expected failure and printed; one
that does not fail makes the run fail, as does a line that names no test.
Only where the cause begins with "intermittent" may it pass too: its fault
does not show in each run, and the verdict must be the same in all of them.
"""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3
# Tests of misbehaving clients are listed in addition, one line each.
UNCAPPED = "tests/clients/"
# Selects the tests that run in one process, one after the other.
WITHOUT_WORKERS = "alone"
FORM = "test id | cause | issue"
INTERMITTENT = "intermittent"


@dataclasses.dataclass(frozen=True)
class Entry:
    """One line of the file.

    Attributes
    ----------
    test
        Node id of the test.
    cause
        Why it fails.
    issue
        Issue that tracks the fault.
    """

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.cause} (issue {self.issue})"


def read(path: pathlib.Path) -> dict[str, Entry]:
    """Return the entries of a file by test; none if there is no file."""
    if not path.exists():
        return {}
    entries: dict[str, Entry] = {}
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        entry = parse(line, f"{path.name}:{number}")
        if entry.test in entries:
            raise pytest.UsageError(f"{path.name}:{number}: listed twice")
        entries[entry.test] = entry
    capped = [test for test in entries if not test.startswith(UNCAPPED)]
    if len(capped) > MAX_ENTRIES:
        raise pytest.UsageError(
            f"{path.name} lists {len(capped)} tests, at most {MAX_ENTRIES}"
        )
    return entries


def parse(line: str, place: str) -> Entry:
    """Return the entry of one line."""
    # Ids of parametrized tests may hold the separator, causes may not.
    parts = [part.strip() for part in line.rsplit("|", 2)]
    if len(parts) != 3 or not all(parts):
        raise pytest.UsageError(f"{place}: expected {FORM}")
    return Entry(*parts)


def covers_whole_suite(config: pytest.Config) -> bool:
    """Return whether the run was not narrowed to some of the tests.

    Of the two runs that a mark divides the suite into, the one that collects
    all tests in this process sees all names.
    """
    is_divided = config.getoption("markexpr", None) == WITHOUT_WORKERS
    narrowed = ("keyword", "deselect", "lf", "ignore")
    if not is_divided:
        narrowed += ("markexpr",)
    if any(config.getoption(name, None) for name in narrowed):
        return False
    return config.args_source is not pytest.Config.ArgsSource.ARGS


class Plugin:
    """Applies the entries to the reports of a run."""

    def __init__(
        self, config: pytest.Config, entries: dict[str, Entry]
    ) -> None:
        self.config = config
        self.entries = entries
        self.reported: set[str] = set()
        self.collected: set[str] = set()

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        self.collected.update(item.nodeid for item in items)

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item
    ) -> typing.Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        entry = self.entries.get(item.nodeid)
        if entry is not None:
            apply(entry, report)
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.reported.add(report.nodeid)

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        finished = session.exitstatus in (
            pytest.ExitCode.OK,
            pytest.ExitCode.NO_TESTS_COLLECTED,
        )
        if finished and self.unknown():
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        if not self.entries:
            return
        terminalreporter.section("known red")
        unknown = self.unknown()
        for entry in self.entries.values():
            terminalreporter.line(str(entry))
            if entry in unknown:
                terminalreporter.line(
                    f"ERROR: {FILE_NAME} names no test: {entry.test}"
                )

    def unknown(self) -> list[Entry]:
        """Return the entries that name no test of a whole run."""
        is_worker = hasattr(self.config, "workerinput")
        if is_worker or not covers_whole_suite(self.config):
            return []
        return [
            entry
            for entry in self.entries.values()
            if entry.test not in self.reported | self.collected
        ]


def apply(entry: Entry, report: pytest.TestReport) -> None:
    """Turn a listed test's failure into an expected one, others into errors.

    A test that is skipped shows nothing about its fault, so it is an error
    as well.
    """
    if report.failed:
        report.outcome = "skipped"
        report.wasxfail = f"known red: {entry.cause} (issue {entry.issue})"
    elif report.passed and entry.cause.startswith(INTERMITTENT):
        return
    elif report.when == "call" or report.skipped:
        word = "passes" if report.passed else "was skipped"
        report.outcome = "failed"
        report.longrepr = (
            f"{entry.test} is listed in {FILE_NAME} but {word}: "
            "remove the line"
        )
