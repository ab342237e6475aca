"""What callers get from a real process that is stopped while they call."""

from __future__ import annotations

import http.client
import signal
import socket
import time

import pytest

from briarseam.testing import waiting
from tests.platform import system
from tests.soak import serving

pytestmark = pytest.mark.timeout(60)

START_S = 20.0
# Longer than what a process has left once it found nothing in flight.
WORK_MS = 400
SHUTDOWN_S = 8.0
PATIENCE_S = 15.0
BODY = b"{}"
HEAD = (
    "POST /submit/x HTTP/1.1\r\n"
    f"Host: {system.HOST}\r\n"
    f"Authorization: Bearer {system.KEY}\r\n"
    "Request-Id: {id}\r\n"
    f"Content-Length: {len(BODY)}\r\n\r\n"
)


class Caller:
    """A caller with one connection, which it keeps."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), PATIENCE_S)

    def send_head(self, request_id: str) -> None:
        """Send all of a request but its body."""
        self.socket.sendall(HEAD.format(id=request_id).encode())

    def send_body(self) -> None:
        """Send the body."""
        self.socket.sendall(BODY)

    def status(self) -> int:
        """Return the status of a whole answer; 0 if there is none."""
        response = http.client.HTTPResponse(self.socket)
        try:
            response.begin()
            response.read()
        except (OSError, http.client.HTTPException):
            return 0
        return response.status

    def call(self, request_id: str) -> int:
        """Send a request and return the status of its answer."""
        try:
            self.send_head(request_id)
            self.send_body()
        except OSError:
            return 0
        return self.status()


@pytest.fixture
def deployment(tmp_path):
    """One started instance whose calls are answered after a while."""
    made = serving.Deployment(tmp_path, 1)
    try:
        path = made.instances[0].settings
        settings = path.read_text()
        assert "shutdown_s = 4" in settings
        path.write_text(
            settings.replace("shutdown_s = 4", f"shutdown_s = {SHUTDOWN_S:g}")
        )
        made.start()
        waiting.until(lambda: serves(made), START_S, "it serves")
        for worker in made.past:
            worker.set(delay_ms=WORK_MS)
        yield made
    finally:
        made.close()


def address(deployment):
    """Return where callers connect."""
    return deployment.instances[0].listen["callers"]


def serves(deployment):
    """Tell whether a call is answered."""
    try:
        return Caller(address(deployment)).call("first") == 200
    except OSError:
        return False


def hold(deployment):
    """Let endpoints work on what they get."""
    for worker in deployment.past:
        worker.set(hold=True)


def stop(deployment):
    """Send SIGTERM."""
    deployment.instances[0].send(signal.SIGTERM)


def await_line(deployment, event):
    """Wait until the instance has logged an event."""
    path = deployment.instances[0].output
    waiting.until(
        lambda: f'"event": "{event}"' in path.read_text(), PATIENCE_S, event
    )


def runs(deployment, request_id):
    """Return how often endpoints got a request."""
    return len(deployment.ran().get(request_id, []))


def test_call_that_comes_when_nothing_was_in_flight_is_not_lost(deployment):
    """Instances are stopped in turn, and a booking ends without an answer.

    A caller whose lookup has not run out sends on the connection that it
    kept.  A moment before, the instance found nothing in flight and decided
    to end; it still reads the request and passes it on, and ends while the
    endpoint is at work.
    """
    caller = Caller(address(deployment))
    assert caller.call("kept") == 200
    stop(deployment)
    await_line(deployment, "drained")
    status = caller.call("late")
    assert status or not runs(deployment, "late")


def test_new_connection_when_nothing_was_in_flight_is_not_lost(deployment):
    """The same with a connection that is made only then."""
    stop(deployment)
    await_line(deployment, "drained")
    try:
        status = Caller(address(deployment)).call("late")
    except OSError:
        status = 0
    assert status or not runs(deployment, "late")


def test_request_that_is_still_being_read_is_waited_for(deployment):
    """A caller sends a request slowly, and it ends without an answer.

    The instance has read its head when it looks for what is in flight.
    Requests counted only once they were understood, so the look found none,
    and the rest of this one was read by a process that was about to end.
    """
    caller = Caller(address(deployment))
    stop(deployment)
    await_line(deployment, "draining")
    # Before the look, which comes after lookups have run out at three
    # seconds, and late enough to be whole within its route's three seconds.
    time.sleep(2.0)
    caller.send_head("slow")
    end_s = time.monotonic() + 2.2
    while time.monotonic() < end_s:
        if '"drained"' in deployment.instances[0].output.read_text():
            break
        time.sleep(0.01)
    caller.send_body()
    assert caller.status() == 200


def test_request_that_is_cut_off_has_a_final_answer(deployment):
    """An endpoint turned slow, and a booking ends without an answer.

    It came before its instance was told to stop, and its endpoint was still
    at work when the time to shut down was over.  The process went and took
    the request along; its caller could not tell whether to ask again.
    """
    hold(deployment)
    path = deployment.instances[0].settings
    path.write_text(
        path.read_text().replace("shutdown_s = 8", "shutdown_s = 2")
    )
    deployment.instances[0].send(signal.SIGHUP)
    await_line(deployment, "settings_reloaded")
    caller = Caller(address(deployment))
    caller.send_head("slow")
    caller.send_body()
    waiting.until(lambda: runs(deployment, "slow"), PATIENCE_S)
    stop(deployment)
    assert caller.status() == 502
    await_line(deployment, "request_cut_off")
