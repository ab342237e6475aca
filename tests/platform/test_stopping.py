"""What an instance that was told to stop takes on, and how it ends it."""

from __future__ import annotations

from concurrent import futures

from briarseam import clocks
from briarseam import inflight
from briarseam.testing import waiting

PATIENCE_S = 10.0
DEADLINE_MS = 2500


def stop_since(node, since_s):
    """Let an instance have been told to stop some time ago."""
    node.shutdown.begun_s = clocks.boot_clock() - since_s


def test_call_that_has_more_time_than_the_instance_goes_elsewhere(system):
    """A booking is taken long after SIGTERM and given up.

    It has 2.5 s, the instance 1.6; an endpoint that turned slow works on it
    when the process ends.  Told "not run" at once, its caller asks another
    instance.
    """
    left_s = DEADLINE_MS / 1000 - 0.9
    stop_since(system.node, system.node.serving_bound_s() - left_s)
    refused = system.call("/submit/x", Deadline_Ms=str(DEADLINE_MS))
    assert refused.status == 503
    assert float(refused.headers["Retry-After"]) < 1.0
    assert not any(worker.ran for worker in system.workers.values())
    taken = system.call("/submit/x", Deadline_Ms="1000")
    assert taken.status == 200


def test_answer_to_what_was_read_before_asks_to_close(system):
    """A request is under way when its instance is told to stop.  Its caller
    kept the connection and sent the next request just as the process ended.
    """
    for worker in system.workers.values():
        worker.set(hold=True)
    with futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(system.call, "/submit/x")
        waiting.until(
            lambda: system.node.forwarding.active_requests.contexts, PATIENCE_S
        )
        system.node.in_flight.move_to(inflight.Stage.LEAVING)
        for worker in system.workers.values():
            worker.set(hold=False)
        assert answer.result().headers["Connection"] == "close"
