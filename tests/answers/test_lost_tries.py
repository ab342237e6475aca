"""What a caller is told when the first try was lost and a second refused."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import calls
from briarseam.answers import relay
from briarseam.answers import runs
from briarseam.endpoints import engine
from briarseam.endpoints import service

REFUSED = verdict.NotRun(verdict.Reason.NO_ENDPOINT, "no other", 1.5)


class Agent:
    """Grants once, then refuses."""

    def __init__(self, address: str) -> None:
        self.grants = [
            messages.Granted("run", "", "", "north", "one", address, "v1")
        ]

    def admit(self, request):
        if not self.grants:
            raise verdict.RefusalError(REFUSED)
        return self.grants.pop()

    admit_call = admit

    def report(self, message):
        return messages.Noted()


@pytest.fixture
def closing():
    """An endpoint that reads a request and ends the connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            sock, _ = listener.accept()
            with sock:
                sock.recv(65536)

        threading.Thread(target=serve, daemon=True).start()
        host, port = listener.getsockname()
        yield f"{host}:{port}"


@pytest.fixture
def absent():
    """An address where nobody listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    return f"{host}:{port}"


def refuse_prompt(address: str, *prior: str) -> verdict.Verdict:
    admit = messages.Admit("", "draft", "", (), 1, 4, 5, 3000)
    asking = relay.Relay(
        runs.PromptRequest(admit, "prompt", time.monotonic(), prior),
        Agent(address),
        engine.EngineClient(1.0),
        None,
    )
    with pytest.raises(verdict.RefusalError) as raised:
        asking.open()
    return raised.value.given


def refuse_call(address: str) -> verdict.Verdict:
    request = messages.AdmitCall("", "renewals", "look", "", b"", 3000)
    asking = calls.CallRelay(
        request, b"{}", Agent(address), service.ServiceClient()
    )
    with pytest.raises(verdict.RefusalError) as raised:
        asking.run()
    return raised.value.given


REFUSE = pytest.mark.parametrize(
    "refuse", [refuse_prompt, refuse_call], ids=["prompt", "call"]
)


@REFUSE
def test_lost_with_its_endpoint_is_not_told_not_run(refuse, closing):
    """A caller is told "not run" of what its first endpoint was doing.

    The endpoint ends the connection with the request read; the agent has
    no other one and refuses the second try as not run.
    """
    assert refuse(closing) == verdict.MayHaveRun(
        REFUSED.reason, REFUSED.detail, REFUSED.retry_after_s
    )


@REFUSE
def test_endpoint_that_was_not_reached_did_not_run_it(refuse, absent):
    assert refuse(absent) == REFUSED


def test_answer_that_had_begun_has_run(absent):
    given = refuse_prompt(absent, "some", "tokens")
    assert isinstance(given, verdict.Ran)
