from __future__ import annotations

import contextlib
import os
import pathlib
import signal
import subprocess
import sys

import pytest
from tests.orders import deployment as deployments

from briarseam.testing import engine_messages
from briarseam.testing import waiting

ROOT = pathlib.Path(__file__).parents[2]


@contextlib.contextmanager
def stopped_holder(log: str, version: str, addresses: list[str]):
    """Start the holder and wait until it has stopped itself."""
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "tests.matrix.stopping_holder",
            log,
            version,
            *addresses,
        ],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
    )
    try:
        _, status = os.waitpid(process.pid, os.WUNTRACED)
        assert os.WIFSTOPPED(status)
        yield process
    finally:
        process.kill()
        process.wait()


def record_orders(weights, answers):
    """Note each order that a worker takes, and its answer."""
    take = weights.take

    def recorded(order):
        answers.append((order, take(order)))
        return answers[-1][1]

    weights.take = recorded


@pytest.mark.parametrize("fencing", [True, False], ids=["fencing", "not"])
def test_order_of_a_woken_holder_does_not_last(fencing):
    """The holder is frozen between the check of its lease and its order.

    Its successor has brought all workers to a newer version.  When it
    wakes, the first thing it does is send its order for old weights.
    """
    with contextlib.ExitStack() as stack:
        deployment = deployments.Deployment(stack)
        deployment.add_engines(2, fencing=fencing)
        process = stack.enter_context(
            stopped_holder(
                deployment.log.address,
                "v2",
                list(deployment.addresses.values()),
            )
        )
        deployment.configure("v1")
        deployment.configure("v3")
        successor = deployment.add_agent()
        deployment.until_all("v3")
        deployment.until_done()
        # Which of the workers the order is for depends on whose state the
        # holder read last, so all of them are watched.
        answers = []
        for worker in deployment.engines.values():
            record_orders(worker.weights, answers)
        process.send_signal(signal.SIGCONT)
        order, answer = waiting.until(lambda: answers)[0]
        assert order.version == "v2"
        assert isinstance(answer, engine_messages.Fenced) is fencing
        if not fencing:
            waiting.until(lambda: answers[1:])
        deployment.until_all("v3")
        deployment.until_done()
        assert [one.version for one, _ in answers[1:]] == (
            [] if fencing else ["v3"]
        )
        assert successor.leases.holder != "stopping"
