from __future__ import annotations

import dataclasses
import typing

import pytest

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import calls
from briarseam.endpoints import engine
from briarseam.endpoints import service

REQUEST = messages.AdmitCall("t", "renewals", "submit", "key", b"x", 1000)
GRANT = messages.Granted("a", "", "a", "north", "service-0", "127.0.0.1:1")


@dataclasses.dataclass
class FakeAgent:
    """Grants what it is asked; hears reports or does not."""

    hears: bool
    asked: list[messages.AdmitCall] = dataclasses.field(default_factory=list)
    reports: list[typing.Any] = dataclasses.field(default_factory=list)

    def admit_call(self, request: messages.AdmitCall) -> messages.Granted:
        self.asked.append(request)
        return dataclasses.replace(GRANT, attempt=request.attempt)

    def report(self, message: typing.Any) -> messages.Noted | None:
        self.reports.append(message)
        return messages.Noted() if self.hears else None


@dataclasses.dataclass
class FakeServices:
    """Cannot be reached the first time."""

    error: Exception
    calls: int = 0

    def call(self, *arguments: typing.Any) -> service.ServiceAnswer:
        self.calls += 1
        if self.calls == 1:
            raise self.error
        return service.ServiceAnswer(200, b"{}", "application/json")


def make(agent: FakeAgent, services: FakeServices) -> calls.CallRelay:
    return calls.CallRelay(REQUEST, b"{}", agent, services)


def test_endpoint_not_reached_is_passed_over_in_the_same_attempt():
    agent = FakeAgent(hears=True)
    services = FakeServices(engine.NotSentError("refused"))
    assert make(agent, services).run().status == 200
    assert [one.lost for one in agent.asked] == [(), ("service-0",)]
    assert len({one.attempt for one in agent.asked}) == 1


def test_not_sent_that_the_agent_did_not_hear_ends_the_request():
    """A booking runs twice.

    An endpoint could not be reached; the word of it gets stuck on its way
    to a frozen agent, and the attempt is granted again and sent.  Then the
    agent hears that it was not sent, and frees the key.
    """
    agent = FakeAgent(hears=False)
    services = FakeServices(engine.NotSentError("refused"))
    with pytest.raises(verdict.RefusalError) as raised:
        make(agent, services).run()
    assert isinstance(raised.value.given, verdict.NotRun)
    assert services.calls == 1


def test_answer_lost_is_never_tried_elsewhere():
    agent = FakeAgent(hears=True)
    services = FakeServices(engine.LostError("cut"))
    with pytest.raises(verdict.RefusalError) as raised:
        make(agent, services).run()
    assert isinstance(raised.value.given, verdict.MayHaveRun)
    assert services.calls == 1
