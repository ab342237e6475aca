"""All instances lose power right after an operator's change."""

from __future__ import annotations

import signal
import threading

import pytest
from tests.soak import callers
from tests.soak import processes
from tests.soak import serving

from briarseam.testing import waiting

TIMEOUT_S = 20
OK = 200
NOT_FOUND = 404


@pytest.fixture
def deployment(tmp_path):
    """Four instances, of which two run."""
    made = serving.Deployment(tmp_path, 4)
    made.configure(True)
    yield made
    made.close()


@pytest.fixture
def status_of():
    """Return a function that returns the status of a request, or 0."""
    caller = callers.Caller(0, 0, [], threading.Event())

    def send(instance: processes.Instance, path: str) -> int:
        return caller.send(callers.Kind("x", "GET", path), instance).status

    return send


def test_acknowledged_change_outlives_all_instances_that_knew_it(
    deployment, status_of
):
    """Guards against a change that is known to processes only."""
    old, new = deployment.instances[:2], deployment.instances[2:]
    for instance in old:
        instance.start()
    for instance in old:
        waiting.until(
            lambda one=instance: status_of(one, "/toggled/x") == OK, TIMEOUT_S
        )
    # The store's answer is the acknowledgement.
    deployment.configure(False)
    for instance in old:
        instance.end(signal.SIGKILL)
    for instance in new:
        instance.start()
    for instance in new:
        waiting.until(
            lambda one=instance: status_of(one, "/status/x") == OK, TIMEOUT_S
        )
        assert status_of(instance, "/toggled/x") == NOT_FOUND
