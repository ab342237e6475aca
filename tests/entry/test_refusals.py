"""Verdicts of an entry that can't know whether a request ran."""

from __future__ import annotations

import pytest

from briarseam import verdict
from briarseam.admission import messages
from briarseam.admission import refusals
from briarseam.entry import agent_link
from briarseam.entry import problems
from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import waiting
from briarseam.wire import client as wire_client
from briarseam.wire import codec


class FailingClient:
    """A client of an agent that is unavailable or sends a bad reply."""

    def __init__(self, reply: codec.Message | None) -> None:
        self.reply = reply

    def call(self, request, timeout_s):
        if self.reply is None:
            raise wire_client.NotSentError("connection refused")
        return self.reply


class Reports:
    def add(self, message):
        """Discard the report."""


REPLIES = pytest.mark.parametrize(
    "reply",
    [None, codec.Failed("error", "bug"), messages.Noted()],
    ids=["unavailable", "failed", "unexpected-reply"],
)


def request_admission(reply, key: str) -> verdict.Verdict:
    link = agent_link.AgentLink(FailingClient(reply), Reports())
    call = messages.AdmitCall("", "renewals", "submit", key, b"", 100)
    with pytest.raises(verdict.RefusalError) as raised:
        link.admit_call(call)
    return raised.value.given


@REPLIES
def test_request_with_a_key_may_have_run_without_an_answer_of_the_agent(reply):
    """Guards against a submission that takes effect twice.

    Its first answer is lost, and an entry whose agent is unavailable
    answers the retry with "not run", so the caller uses a new key.
    """
    given = request_admission(reply, caller.new_key())
    assert isinstance(given, verdict.MayHaveRun)
    assert given.retry_after_s
    assert "same key" in given.detail


@REPLIES
def test_request_without_a_key_did_not_run(reply):
    assert isinstance(request_admission(reply, ""), verdict.NotRun)


def test_definite_verdict_for_a_key_is_unchanged():
    given = verdict.Ran(verdict.Reason.ANSWER_GONE)
    assert refusals.for_keyed_request("key", given) is given


def test_stale_agent_does_not_say_that_a_key_has_not_run(tmp_path):
    """The verdict for a key is "unknown" at an agent that is not current.

    A replaced agent admits nothing and knows no key's records until then.
    """
    with deployment.Deployment(tmp_path) as running:
        instance = running.instances[0]
        reader = instance.agent.configuration
        reader.staleness_s = lambda: 1e9
        key = caller.new_key()
        response = running.caller().call(
            deployment.SERVICE, deployment.CALL, {"key": key}, key
        )
        plain = running.caller().call(deployment.SERVICE, "look", {})
    assert (response.status, response.body["ran"]) == (503, "unknown")
    assert int(response.headers["Retry-After"]) >= 1
    assert plain.body["ran"] == "no"


def test_removed_service_does_not_say_that_a_used_key_has_not_run(tmp_path):
    """A submission is sent again after its service has been removed."""
    with deployment.Deployment(tmp_path) as running:
        key = caller.new_key()
        submission = (deployment.SERVICE, deployment.CALL, {"key": key}, key)
        waiting.until(lambda: running.caller().call(*submission).status == 200)
        running.publish({f"services/{deployment.SERVICE}": None})
        waiting.until(running.is_serving)
        # The outcome reaches the log shortly after the first answer.
        waiting.until(lambda: running.caller().call(*submission).status == 200)
        new_key = caller.new_key()
        response = running.caller().call(
            deployment.SERVICE, deployment.CALL, {"key": new_key}, new_key
        )
    assert (response.status, response.body["ran"]) == (404, "no")


def test_every_reason_has_a_status():
    assert set(problems.STATUS) == set(verdict.Reason)
