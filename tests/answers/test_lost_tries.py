"""Verdicts after the first try was lost and the second was refused."""

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
    """An endpoint that reads a request and closes the connection."""
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
    """An address without a listener."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    return f"{host}:{port}"


def refuse_prompt(address: str, *prior: str) -> verdict.Verdict:
    admit = messages.Admit("", "draft", "", (), 1, 4, 5, 3000)
    answer_relay = relay.Relay(
        runs.PromptRequest(admit, "prompt", time.monotonic(), prior),
        Agent(address),
        engine.EngineClient(1.0),
        None,
    )
    with pytest.raises(verdict.RefusalError) as raised:
        answer_relay.open()
    return raised.value.given


def refuse_call(address: str) -> verdict.Verdict:
    request = messages.AdmitCall("", "renewals", "look", "", b"", 3000)
    answer_relay = calls.CallRelay(
        request, b"{}", Agent(address), service.ServiceClient()
    )
    with pytest.raises(verdict.RefusalError) as raised:
        answer_relay.run()
    return raised.value.given


REFUSE = pytest.mark.parametrize(
    "refuse", [refuse_prompt, refuse_call], ids=["prompt", "call"]
)


@REFUSE
def test_request_lost_with_its_endpoint_may_have_run(refuse, closing):
    """Guards against "not run" for a request that an endpoint received.

    The endpoint reads the request and closes the connection; the agent has
    no other endpoint and refuses the second try as not run.
    """
    assert refuse(closing) == verdict.MayHaveRun(
        REFUSED.reason, REFUSED.detail, REFUSED.retry_after_s
    )


@REFUSE
def test_request_to_unreachable_endpoint_has_not_run(refuse, absent):
    assert refuse(absent) == REFUSED


def test_refused_continuation_of_an_answer_has_run(absent):
    given = refuse_prompt(absent, "some", "tokens")
    assert isinstance(given, verdict.Ran)
