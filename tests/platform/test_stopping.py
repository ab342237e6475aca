"""Requests that reach an instance during its shutdown."""

from __future__ import annotations

from concurrent import futures

from briarseam import clocks
from briarseam import inflight
from briarseam.testing import waiting

TIMEOUT_S = 10.0
DEADLINE_MS = 2500


def stop_since(node, since_s):
    """Set the start of an instance's shutdown to some time ago."""
    node.shutdown.begun_s = clocks.boot_clock() - since_s


def test_call_with_a_deadline_after_shutdown_is_refused_as_not_run(system):
    """Guards against accepting a call that shutdown cuts off.

    The call has 2.5 s left and the instance 1.6 s; a slow endpoint would
    still be working when the process ends.  Refused as not run at once, the
    call can be sent to another instance.
    """
    left_s = DEADLINE_MS / 1000 - 0.9
    stop_since(system.node, system.node.serving_bound_s() - left_s)
    refused = system.call("/submit/x", Deadline_Ms=str(DEADLINE_MS))
    assert refused.status == 503
    assert float(refused.headers["Retry-After"]) < 1.0
    assert not any(worker.ran for worker in system.workers.values())
    accepted = system.call("/submit/x", Deadline_Ms="1000")
    assert accepted.status == 200


def test_answer_during_shutdown_closes_the_connection(system):
    """Guards against connections that stay open during shutdown.

    The caller of an active request would keep its connection and send the
    next request just as the process ends.
    """
    for worker in system.workers.values():
        worker.set(hold=True)
    with futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(system.call, "/submit/x")
        waiting.until(
            lambda: system.node.forwarding.active_requests.contexts, TIMEOUT_S
        )
        system.node.in_flight.move_to(inflight.Stage.LEAVING)
        for worker in system.workers.values():
            worker.set(hold=False)
        assert answer.result().headers["Connection"] == "close"
