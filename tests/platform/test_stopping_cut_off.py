"""What a process that is stopped does with what it can't wait for."""

from __future__ import annotations

import concurrent.futures
import time

import pytest

from tests.platform import test_stopping_process as stopping

pytestmark = pytest.mark.timeout(60)
deployment = stopping.deployment

# From SIGTERM, in seconds; the process ends its service after 7.
EARLY_S = 2.5
LATE_S = 5.2
AGAIN_S = 0.3
LONG_WORK_MS = 1500
NOT_RUN = 503


@pytest.fixture
def pool():
    with concurrent.futures.ThreadPoolExecutor() as made:
        yield made


def test_second_signal_to_stop_cuts_no_request_off(deployment, pool):
    """Two stops of all instances overlap, and bookings get no answer.

    An instance that waits for what is in flight gets a second SIGTERM.  It
    took that for the wish to end at once and cut everything off, though most
    of its time to shut down was left.
    """
    for worker in deployment.past:
        worker.set(delay_ms=LONG_WORK_MS)
    caller = stopping.Caller(stopping.address(deployment))
    status = pool.submit(caller.call, "booking")
    time.sleep(AGAIN_S)
    stopping.stop(deployment)
    time.sleep(AGAIN_S)
    stopping.stop(deployment)
    assert status.result() == 200
    assert stopping.runs(deployment, "booking") == 1


def test_call_that_cannot_be_waited_for_gets_an_answer(deployment, pool):
    """A late call goes to a silent endpoint, and its connection just ends.

    It comes while the instance still takes calls, 5.2 s after SIGTERM, and
    would time out only after the process is gone.  The process took such calls
    and ended without telling the caller that they may have run.
    """
    for worker in deployment.past:
        worker.set(delay_ms=0, hold=True)
    early, late = (
        stopping.Caller(stopping.address(deployment)) for _ in range(2)
    )
    stopping.stop(deployment)
    time.sleep(EARLY_S)
    status = pool.submit(early.call, "early")
    time.sleep(LATE_S - EARLY_S)
    told = late.call("late")
    assert told
    assert told != NOT_RUN or not stopping.runs(deployment, "late")
    assert status.result()
