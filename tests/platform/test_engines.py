from __future__ import annotations

import pytest

from briarseam import malformed
from briarseam.discovery import starts
from briarseam.platform import engines
from briarseam.weights import orders

REPORT = b'{"models":[{"name":"m","version":2}],"busy":false,"seq":3}'


class Answer:
    """Response of an engine."""

    status = 200

    def __init__(self, data, headers):
        self.data = data
        self.headers = headers


class AnsweredClient(engines.EngineClient):
    """Client with one answer to all calls."""

    def __init__(self, data, tally=None, leaving=None, **headers):
        super().__init__(tally, on_leaving=leaving or engines.ignore_start)
        self.data = data
        self.headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }

    def call(self, *_arguments, **_options):
        return Answer(self.data, self.headers)


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


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ({"Server_Leaving": "1"}, [starts.Start("engine-1", 5)]),
        ({"Server_Leaving": "0"}, []),
        ({}, []),
    ],
)
def test_report_tells_that_its_engine_leaves(headers, expected):
    leaving = []
    client = AnsweredClient(REPORT, None, leaving.append, **headers)
    client.report("127.0.0.1:1", "engine-1@5")
    assert leaving == expected


def test_report_of_another_start_does_not_make_the_expected_one_leave():
    """Guards against a leaving start whose address another one has."""
    leaving = []
    data = REPORT.replace(b"{", b'{"born":7,', 1)
    client = AnsweredClient(data, None, leaving.append, Server_Leaving="1")
    with pytest.raises(orders.EngineUnavailableError):
        client.report("127.0.0.1:1", "engine-1@5")
    assert leaving == []
