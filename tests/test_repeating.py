from __future__ import annotations

import threading

from briarseam import repeating
from briarseam.testing import waiting

INTERVAL_S = 0.01


def test_task_is_done_again_and_again_until_stopped():
    done = []
    repeater = repeating.Repeater("task", lambda: done.append(1), INTERVAL_S)
    repeater.start()
    waiting.until(lambda: len(done) > 2, what="three times")
    repeater.stop()
    repeater.thread.join(5.0)
    assert not repeater.thread.is_alive()


def test_stopped_repeater_does_nothing_more():
    done = threading.Event()
    repeater = repeating.Repeater("task", done.set, INTERVAL_S)
    repeater.stop()
    repeater.run()
    assert not done.is_set()


def test_task_that_fails_once_is_done_again():
    """A rollout meets something that nobody expected, and one review ends in
    an error.  Its thread ended with it, and no engine was given new weights
    until the process was started again.
    """
    done = []

    def fail_once():
        done.append(1)
        if len(done) == 1:
            raise ZeroDivisionError

    repeater = repeating.Repeater("task", fail_once, INTERVAL_S)
    repeater.start()
    waiting.until(lambda: len(done) > 1, what="again")
    repeater.stop()
