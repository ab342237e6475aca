"""Requests that a process can't complete before its shutdown ends."""

from __future__ import annotations

import concurrent.futures
import time

import pytest

from tests.platform import test_stopping_process as stopping

pytestmark = pytest.mark.timeout(60)
deployment = stopping.deployment

# Seconds after SIGTERM; the process stops serving after 7 s.
EARLY_S = 2.5
LATE_S = 5.2
AGAIN_S = 0.3
LONG_WORK_MS = 1500
NOT_RUN = 503


@pytest.fixture
def pool():
    with concurrent.futures.ThreadPoolExecutor() as made:
        yield made


def test_second_sigterm_cuts_off_no_request(deployment, pool):
    """Guards against a second SIGTERM that ends the process at once.

    Two overlapping stops of all instances send a second SIGTERM to an
    instance that waits for requests in flight.  It would cut them off
    although most of its shutdown time remains.
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


def test_call_that_outlasts_shutdown_gets_an_answer(deployment, pool):
    """Guards against a late call whose connection ends without an answer.

    The call comes while the instance still accepts calls, 5.2 s after
    SIGTERM, and goes to a silent endpoint, so that it would time out only
    after the process has ended.  The caller must learn that the call may have
    run.
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
    late_status = late.call("late")
    assert late_status
    assert late_status != NOT_RUN or not stopping.runs(deployment, "late")
    assert status.result()
