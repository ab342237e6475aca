from __future__ import annotations

import pytest
import structlog.testing

from briarseam import polling
from briarseam.testing import waiting

PAUSE_S = 0.5
RETRY_S = 2.0


class Source:
    """Answers, or fails with one of the given errors."""

    def __init__(self, *errors):
        self.errors = list(errors)

    def poll(self):
        error = self.errors.pop(0) if self.errors else None
        if error is not None:
            raise error
        return PAUSE_S


def poller_of(*errors):
    failures = []
    made = polling.Poller(
        "source", Source(*errors).poll, OSError, RETRY_S, failures.append
    )
    return made, failures


def test_loss_and_return_are_told_once_each():
    poller, failures = poller_of(OSError("a"), OSError("b"), None, None)
    with structlog.testing.capture_logs() as lines:
        pauses = [poller.step() for _ in range(4)]
    assert pauses == [RETRY_S, RETRY_S, PAUSE_S, PAUSE_S]
    assert len(failures) == 2
    events = [line["event"] for line in lines]
    assert events == ["poll_failing", "poll_regained"]


def test_error_that_is_no_failure_to_answer_is_not_hidden():
    poller, _failures = poller_of(ValueError("a bug"))
    with pytest.raises(ValueError, match="a bug"):
        poller.step()


def test_stopped_poller_ends():
    poller, _failures = poller_of()
    poller.start()
    poller.stop()
    poller.thread.join(5.0)
    assert not poller.thread.is_alive()


def test_fault_of_ours_does_not_end_the_polling():
    """A poll fails in a way that nobody thought of.

    The thread ended, and what it followed was never looked at again.
    """
    made = polling.Poller(
        "source", Source(ValueError("a bug")).poll, OSError, 0.01
    )
    made.poll = answering = Answering(made.poll)
    made.start()
    waiting.until(lambda: answering.answered > 0)
    made.stop()


class Answering:
    """Counts the polls of a source that were answered."""

    def __init__(self, poll):
        self.poll = poll
        self.answered = 0

    def __call__(self):
        self.poll()
        self.answered += 1
        return 0.01
