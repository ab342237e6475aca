from __future__ import annotations

import threading
import typing

import pytest

from briarseam.admission import condemnation
from briarseam.admission import condemnation_log
from briarseam.admission import evidence
from briarseam.backing import log as platform_log
from briarseam.configuration import teams

LONG_S = 5.0
MOMENT_S = 0.2


class SlowLog:
    """A log whose reads wait until they are let go, or fail."""

    def __init__(self) -> None:
        self.answering = threading.Event()
        self.away = False

    def read(self, stream, after, wait_ms=0, limit=0) -> platform_log.Batch:
        if self.away:
            raise platform_log.LogUnavailableError("away")
        self.answering.wait(LONG_S)
        return platform_log.Batch(1, 1, ())

    def append(self, stream, data) -> platform_log.AppendOutcome:
        return platform_log.AppendUnknown("not in this test")


@pytest.fixture
def slow() -> typing.Iterator[SlowLog]:
    client = SlowLog()
    yield client
    client.answering.set()


@pytest.fixture
def noted(slow) -> typing.Iterator[condemnation_log.CondemnationLog]:
    clock = condemnation_log.LogClock()
    evidence_set = condemnation.EvidenceSet(clock.now_ms)
    following = condemnation_log.CondemnationLog(
        slow, b"key", teams.Teams(), evidence_set, clock
    )
    yield following
    following.stop()


def pass_time(noted: condemnation_log.CondemnationLog) -> None:
    """Let the usual wait after a start be over."""
    noted.started_at -= condemnation_log.READY_S


def test_fresh_agent_waits_for_a_log_that_is_slow(noted, slow):
    """A condemned prompt takes down a third engine.

    All agents were replaced on a busy machine; the first read of the log
    took longer than the wait after a start.
    """
    noted.start()
    pass_time(noted)
    waiting = threading.Thread(target=noted.wait_ready)
    waiting.start()
    waiting.join(MOMENT_S)
    assert waiting.is_alive()
    slow.answering.set()
    waiting.join(LONG_S)
    assert not waiting.is_alive()


def test_fresh_agent_serves_while_the_log_is_away(noted, slow):
    slow.away = True
    noted.start()
    pass_time(noted)
    waiting = threading.Thread(target=noted.wait_ready)
    waiting.start()
    waiting.join(LONG_S)
    assert not waiting.is_alive()


def trial(evidence_set: condemnation.EvidenceSet) -> evidence.Trial:
    return evidence.Trial(
        "prompt", "north", "draft", "engine-1", "t1", evidence_set.now_ms()
    )


def test_trial_that_the_log_lacks_is_not_ordered(noted):
    assert not noted.wait_in_log(trial(noted.evidence_set), 0.0)


def test_trial_goes_on_while_the_log_is_away(noted):
    noted.follower.available = False
    assert noted.wait_in_log(trial(noted.evidence_set), 0.0)


def test_trial_that_was_read_back_is_ordered(noted):
    item = trial(noted.evidence_set)
    noted.evidence_set.note_order(item, (1, 0))
    assert noted.wait_in_log(item, 0.0)
