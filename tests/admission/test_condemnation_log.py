from __future__ import annotations

import threading
import typing

import pytest

from briarseam.admission import condemnation
from briarseam.admission import condemnation_log
from briarseam.admission import evidence
from briarseam.backing import log as platform_log
from briarseam.configuration import teams

TIMEOUT_S = 5.0
SHORT_WAIT_S = 0.2


class SlowLog:
    """A log whose reads block until a test releases them, or fail."""

    def __init__(self) -> None:
        self.replying = threading.Event()
        self.unavailable = False

    def read(self, stream, after, wait_ms=0, limit=0) -> platform_log.Batch:
        if self.unavailable:
            raise platform_log.LogUnavailableError("unavailable")
        self.replying.wait(TIMEOUT_S)
        return platform_log.Batch(1, 1, ())

    def append(self, stream, data) -> platform_log.AppendOutcome:
        return platform_log.AppendUnknown("not in this test")


@pytest.fixture
def slow_log() -> typing.Iterator[SlowLog]:
    client = SlowLog()
    yield client
    client.replying.set()


@pytest.fixture
def condemnations(
    slow_log,
) -> typing.Iterator[condemnation_log.CondemnationLog]:
    clock = condemnation_log.LogClock()
    evidence_set = condemnation.EvidenceSet(clock.now_ms)
    condemnations = condemnation_log.CondemnationLog(
        slow_log, b"key", teams.Teams(), evidence_set, clock
    )
    yield condemnations
    condemnations.stop()


def skip_unavailable_wait(
    condemnations: condemnation_log.CondemnationLog,
) -> None:
    """Move the start back by the wait for an unavailable log."""
    condemnations.started_at -= condemnation_log.UNAVAILABLE_WAIT_S


def test_new_agent_waits_for_a_slow_log(condemnations, slow_log):
    """Guards against a condemned prompt that takes down a third engine.

    All agents are replaced on a busy machine, and the first read of the log
    takes longer than the wait for an unavailable one.
    """
    condemnations.start()
    skip_unavailable_wait(condemnations)
    waiting = threading.Thread(target=condemnations.wait_ready)
    waiting.start()
    waiting.join(SHORT_WAIT_S)
    assert waiting.is_alive()
    slow_log.replying.set()
    waiting.join(TIMEOUT_S)
    assert not waiting.is_alive()


def test_new_agent_serves_while_the_log_is_unavailable(
    condemnations, slow_log
):
    slow_log.unavailable = True
    condemnations.start()
    skip_unavailable_wait(condemnations)
    waiting = threading.Thread(target=condemnations.wait_ready)
    waiting.start()
    waiting.join(TIMEOUT_S)
    assert not waiting.is_alive()


def make_trial(evidence_set: condemnation.EvidenceSet) -> evidence.Trial:
    return evidence.Trial(
        "prompt", "north", "draft", "engine-1", "t1", evidence_set.now_ms()
    )


def test_trial_missing_from_the_log_is_not_confirmed(condemnations):
    assert not condemnations.wait_in_log(
        make_trial(condemnations.evidence_set), 0.0
    )


def test_trial_proceeds_while_the_log_is_unavailable(condemnations):
    condemnations.follower.available = False
    assert condemnations.wait_in_log(
        make_trial(condemnations.evidence_set), 0.0
    )


def test_trial_read_back_from_the_log_is_confirmed(condemnations):
    item = make_trial(condemnations.evidence_set)
    condemnations.evidence_set.record_position(item, (1, 0))
    assert condemnations.wait_in_log(item, 0.0)
