"""Answers to calls during the shutdown of a real process."""

from __future__ import annotations

import http.client
import signal
import socket
import threading
import time

import pytest

from briarseam.testing import waiting
from tests.platform import system
from tests.soak import serving

pytestmark = pytest.mark.timeout(60)

START_S = 20.0
# Longer than the remaining time of a process that found nothing in flight.
WORK_MS = 400
SHUTDOWN_S = 8.0
TIMEOUT_S = 15.0
SENDERS = 8
SEND_PAUSE_S = 0.02
BODY = b"{}"
HEAD = (
    "POST /submit/x HTTP/1.1\r\n"
    f"Host: {system.HOST}\r\n"
    f"Authorization: Bearer {system.KEY}\r\n"
    "Request-Id: {id}\r\n"
    f"Content-Length: {len(BODY)}\r\n\r\n"
)


class Caller:
    """A caller with one persistent connection."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), TIMEOUT_S)

    def send_head(self, request_id: str) -> None:
        """Send a request without its body."""
        self.socket.sendall(HEAD.format(id=request_id).encode())

    def send_body(self) -> None:
        """Send the body."""
        self.socket.sendall(BODY)

    def status(self) -> int:
        """Return the status of a complete answer; 0 if there is none."""
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
    """A started instance whose calls are answered with a delay."""
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
    """Return the address for callers."""
    return deployment.instances[0].listen["callers"]


def serves(deployment):
    """Return whether a call is answered."""
    try:
        return Caller(address(deployment)).call("first") == 200
    except OSError:
        return False


def hold(deployment):
    """Make endpoints hold all requests."""
    for worker in deployment.past:
        worker.set(hold=True)


def stop(deployment):
    """Send SIGTERM to the instance."""
    deployment.instances[0].send(signal.SIGTERM)


def await_line(deployment, event):
    """Wait until the instance has logged an event."""
    path = deployment.instances[0].output
    waiting.until(
        lambda: f'"event": "{event}"' in path.read_text(), TIMEOUT_S, event
    )


def runs(deployment, request_id):
    """Return how often endpoints got a request."""
    return len(deployment.ran().get(request_id, []))


def test_call_after_draining_is_not_lost(deployment):
    """Guards against a call that is lost between draining and the end.

    A caller whose lookup has not expired sends on its kept connection just
    after the instance found nothing in flight.  The instance would still read
    and forward the request, and end while the endpoint is working.
    """
    caller = Caller(address(deployment))
    assert caller.call("kept") == 200
    stop(deployment)
    await_line(deployment, "drained")
    status = caller.call("late")
    assert status or not runs(deployment, "late")


def test_new_connection_after_draining_is_not_lost(deployment):
    """Guards against the same failure with a new connection."""
    stop(deployment)
    await_line(deployment, "drained")
    try:
        status = Caller(address(deployment)).call("late")
    except OSError:
        status = 0
    assert status or not runs(deployment, "late")


def test_partially_read_request_is_completed_before_the_end(deployment):
    """Guards against not counting a partially read request as in flight.

    The instance has read only the head of the request when it checks for
    requests in flight.  If requests count only after decoding, the check
    finds none, and the process ends without an answer.
    """
    caller = Caller(address(deployment))
    stop(deployment)
    await_line(deployment, "draining")
    # Before the check, which follows the expiry of lookups after 3 s, and late
    # enough for the request to be complete within its route's 3 s.
    time.sleep(2.0)
    caller.send_head("slow")
    end_s = time.monotonic() + 2.2
    while time.monotonic() < end_s:
        if '"drained"' in deployment.instances[0].output.read_text():
            break
        time.sleep(0.01)
    caller.send_body()
    assert caller.status() == 200


def test_request_cut_off_by_shutdown_gets_an_answer(deployment):
    """Guards against a request that shutdown cuts off without an answer.

    The request came before SIGTERM, and its slow endpoint is still working
    when the shutdown time is over.  Without an answer, the caller can't know
    whether to send it again.
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
    waiting.until(lambda: runs(deployment, "slow"), TIMEOUT_S)
    stop(deployment)
    assert caller.status() == 502
    await_line(deployment, "request_cut_off")


class Sender(threading.Thread):
    """A caller that sends on its connection, or a new one, until refused.

    Attributes
    ----------
    statuses
        Status of each request's answer; 0 if there was none.
    """

    def __init__(self, listen: str, name: str) -> None:
        super().__init__(name=name, daemon=True)
        self.listen = listen
        self.statuses: dict[str, int] = {}
        self.start()

    def run(self) -> None:
        """Send one request after the other."""
        while True:
            try:
                caller = Caller(self.listen)
            except OSError:
                return
            with caller.socket:
                self.send_on(caller)

    def send_on(self, caller: Caller) -> None:
        """Send requests on a connection until one has no answer."""
        status = 1
        while status:
            request_id = f"{self.name}-{len(self.statuses)}"
            status = caller.call(request_id)
            self.statuses[request_id] = status
            time.sleep(SEND_PAUSE_S)


@pytest.mark.parametrize("held_after_s", [None, 2.0, 4.5])
def test_no_request_of_the_grace_is_cut_without_an_answer(
    deployment, held_after_s
):
    """Guards against calls that are passed on and cut at the end."""
    senders = [
        Sender(address(deployment), f"caller{n}") for n in range(SENDERS)
    ]
    time.sleep(WORK_MS / 1000)
    stop(deployment)
    if held_after_s is not None:
        time.sleep(held_after_s)
        hold(deployment)
    for sender in senders:
        sender.join(SHUTDOWN_S + TIMEOUT_S)
        assert not sender.is_alive()
    statuses = {
        request_id: status
        for sender in senders
        for request_id, status in sender.statuses.items()
    }
    ran = deployment.ran()
    lost = [one for one, status in statuses.items() if not status]
    assert not [one for one in lost if one in ran]
    assert 200 in statuses.values()
    # What was refused as not run has not run.
    refused = [one for one, status in statuses.items() if status == 503]
    assert not [one for one in refused if one in ran]
