from __future__ import annotations

import pytest

from briarseam import malformed
from briarseam.platform import engines
from briarseam.weights import orders

REPORT = b'{"models":[{"name":"m","version":2}],"busy":false,"seq":3}'


class Answer:
    """Response of an engine."""

    status = 200

    def __init__(self, data):
        self.data = data


class AnsweredClient(engines.EngineClient):
    """Client with one answer to all calls."""

    def __init__(self, data, tally):
        super().__init__(tally)
        self.data = data

    def call(self, *_arguments, **_options):
        return Answer(self.data)


@pytest.fixture
def counted():
    return []


def report(data, counted):
    client = AnsweredClient(data, malformed.Tally(counted.append))
    return client.report("127.0.0.1:1", "engine-1")


def test_valid_report_is_decoded(counted):
    assert report(REPORT, counted) == orders.Report({"m": 2}, False, 3)
    assert counted == []


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(REPORT[:-1], id="truncated"),
        pytest.param(REPORT.replace(b"3", b'"3"'), id="seq as text"),
        pytest.param(REPORT.replace(b"2", b"-2"), id="version below zero"),
        pytest.param(
            REPORT.replace(b"2", b"9" * 30), id="version beyond 64 bits"
        ),
        pytest.param(b'{"x":' + b"[" * 100_000, id="nested deeply"),
    ],
)
def test_malformed_report_is_rejected_and_counted(counted, data):
    """Guards against accepting a weight version beyond 64 bits.

    It would be published to peers, but no message can carry it, so the
    heartbeats of this instance would stop.
    """
    with pytest.raises(orders.EngineUnavailableError):
        report(data, counted)
    assert counted == [malformed.Kind.ENGINE_REPORT]
