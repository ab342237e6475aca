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
def watched(clock, connected, ended) -> orphans.Orphans:
    def end(run: messages.RunEnded) -> None:
        ended.append(run.run_id)
        made.forget(run.run_id)

    made = orphans.Orphans(lambda: frozenset(connected), end, lambda: clock[0])
    made.track(
        messages.Granted("run", "", "", "north", "engine-0", "address"),
        "entry",
    )
    return made


def test_run_of_an_entry_that_died_is_counted_out(
    watched, clock, connected, ended
):
    """An organisation reaches its limit with runs that nobody has.

    Its entry was killed; the agent never hears how its runs ended.
    """
    watched.review()
    connected.clear()
    watched.review()
    clock[0] += orphans.ENTRY_GRACE_S
    watched.review()
    watched.review()
    assert ended == ["run"]


def test_entry_that_connects_again_keeps_its_run(
    watched, clock, connected, ended
):
    connected.clear()
    watched.review()
    connected.add("entry")
    clock[0] += orphans.ENTRY_GRACE_S
    watched.review()
    connected.clear()
    watched.review()
    assert ended == []


def test_run_whose_end_was_missed_is_counted_out(watched, clock, ended):
    clock[0] += orphans.MAX_RUN_S
    watched.review()
    assert ended == ["run"]
