from __future__ import annotations

import pytest

from briarseam.admission import messages
from briarseam.admission import orphans


@pytest.fixture
def clock() -> list[float]:
    return [0.0]


@pytest.fixture
def connected() -> set[str]:
    return {"entry"}


@pytest.fixture
def ended() -> list[str]:
    return []


@pytest.fixture
def tracker(clock, connected, ended) -> orphans.Orphans:
    def end(run: messages.RunEnded) -> None:
        ended.append(run.run_id)
        made.forget(run.run_id)

    made = orphans.Orphans(lambda: frozenset(connected), end, lambda: clock[0])
    made.track(
        messages.Granted("run", "", "", "north", "engine-0", "address"),
        "entry",
    )
    return made


def test_run_of_dead_entry_is_ended(tracker, clock, connected, ended):
    """The end of runs of a killed entry is never reported.

    Without a review they would count against their organisation's limits.
    """
    tracker.review()
    connected.clear()
    tracker.review()
    clock[0] += orphans.ENTRY_GRACE_S
    tracker.review()
    tracker.review()
    assert ended == ["run"]


def test_entry_that_connects_again_keeps_its_run(
    tracker, clock, connected, ended
):
    connected.clear()
    tracker.review()
    connected.add("entry")
    clock[0] += orphans.ENTRY_GRACE_S
    tracker.review()
    connected.clear()
    tracker.review()
    assert ended == []


def test_run_without_end_report_is_ended(tracker, clock, ended):
    clock[0] += orphans.MAX_RUN_S
    tracker.review()
    assert ended == ["run"]
