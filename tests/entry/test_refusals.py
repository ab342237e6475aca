"""What an entry may say when it cannot know."""

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


class Gone:
    """An agent that is not there, or fails."""

    def __init__(self, reply: codec.Message | None) -> None:
        self.reply = reply

    def call(self, request, timeout_s):
        if self.reply is None:
            raise wire_client.NotSentError("connection refused")
        return self.reply


class Reports:
    def add(self, message):
        """Take nothing."""


REPLIES = pytest.mark.parametrize(
    "reply",
    [None, codec.Failed("error", "bug"), messages.Noted()],
    ids=["away", "failed", "confused"],
)


def ask(reply, key: str) -> verdict.Verdict:
    link = agent_link.AgentLink(Gone(reply), Reports())
    call = messages.AdmitCall("", "renewals", "submit", key, b"", 100)
    with pytest.raises(verdict.RefusalError) as raised:
        link.admit_call(call)
    return raised.value.given


@REPLIES
def test_key_is_unknown_while_its_records_cannot_be_asked(reply):
    """A submission that was filed is filed anew.

    Its first answer was lost; the resend meets an entry whose agent is
    away and is told "not run", so the caller takes a new key.
    """
    given = ask(reply, caller.new_key())
    assert isinstance(given, verdict.MayHaveRun)
    assert given.retry_after_s
    assert "same key" in given.detail


@REPLIES
def test_request_without_a_key_did_not_run(reply):
    assert isinstance(ask(reply, ""), verdict.NotRun)


def test_true_refusal_of_a_key_stays_as_it_is():
    given = verdict.Ran(verdict.Reason.ANSWER_GONE)
    assert refusals.for_keyed_request("key", given) is given


def test_agent_that_may_be_out_of_date_does_not_deny_a_key(tmp_path):
    """The same, at an agent that was just replaced.

    Until it is current it admits nothing and knows no key's records.
    """
    with deployment.Deployment(tmp_path) as running:
        instance = running.instances[0]
        reader = instance.agent.configuration
        reader.staleness_s = lambda: 1e9
        key = caller.new_key()
        told = running.caller().call(
            deployment.SERVICE, deployment.CALL, {"key": key}, key
        )
        plain = running.caller().call(deployment.SERVICE, "look", {})
    assert (told.status, told.body["ran"]) == (503, "unknown")
    assert int(told.headers["Retry-After"]) >= 1
    assert plain.body["ran"] == "no"


def test_service_taken_away_does_not_deny_a_key(tmp_path):
    """A filed submission is sent again after its service was removed."""
    with deployment.Deployment(tmp_path) as running:
        key = caller.new_key()
        submission = (deployment.SERVICE, deployment.CALL, {"key": key}, key)
        waiting.until(lambda: running.caller().call(*submission).status == 200)
        running.publish({f"services/{deployment.SERVICE}": None})
        waiting.until(running.is_serving)
        # The outcome is on the log a moment after the first answer.
        waiting.until(lambda: running.caller().call(*submission).status == 200)
        fresh = caller.new_key()
        told = running.caller().call(
            deployment.SERVICE, deployment.CALL, {"key": fresh}, fresh
        )
    assert (told.status, told.body["ran"]) == (404, "no")


def test_every_reason_has_a_status():
    assert set(problems.STATUS) == set(verdict.Reason)
