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
    """Grants each request; confirms reports if so configured."""

    records_reports: bool
    requests: list[messages.AdmitCall] = dataclasses.field(
        default_factory=list
    )
    reports: list[typing.Any] = dataclasses.field(default_factory=list)

    def admit_call(self, request: messages.AdmitCall) -> messages.Granted:
        self.requests.append(request)
        return dataclasses.replace(GRANT, attempt=request.attempt)

    def report(self, message: typing.Any) -> messages.Noted | None:
        self.reports.append(message)
        return messages.Noted() if self.records_reports else None


@dataclasses.dataclass
class FakeServices:
    """Raises an error at the first call."""

    error: Exception
    calls: int = 0

    def call(self, *arguments: typing.Any) -> service.ServiceAnswer:
        self.calls += 1
        if self.calls == 1:
            raise self.error
        return service.ServiceAnswer(200, b"{}", "application/json")


def make_relay(agent: FakeAgent, services: FakeServices) -> calls.CallRelay:
    return calls.CallRelay(REQUEST, b"{}", agent, services)


def test_unreachable_endpoint_is_skipped_in_the_same_attempt():
    agent = FakeAgent(records_reports=True)
    services = FakeServices(engine.NotSentError("refused"))
    assert make_relay(agent, services).run().status == 200
    assert [request.lost for request in agent.requests] == [(), ("service-0",)]
    assert len({request.attempt for request in agent.requests}) == 1


def test_unconfirmed_report_of_not_sent_ends_the_request():
    """Guards against a request that runs twice.

    An endpoint is unreachable, the report of it is delayed on its way to a
    frozen agent, and the attempt is granted again and sent.  Then the agent
    receives the report and frees the key.
    """
    agent = FakeAgent(records_reports=False)
    services = FakeServices(engine.NotSentError("refused"))
    with pytest.raises(verdict.RefusalError) as raised:
        make_relay(agent, services).run()
    assert isinstance(raised.value.given, verdict.NotRun)
    assert services.calls == 1


def test_call_with_lost_answer_is_not_retried():
    agent = FakeAgent(records_reports=True)
    services = FakeServices(engine.LostError("cut"))
    with pytest.raises(verdict.RefusalError) as raised:
        make_relay(agent, services).run()
    assert isinstance(raised.value.given, verdict.MayHaveRun)
    assert services.calls == 1
