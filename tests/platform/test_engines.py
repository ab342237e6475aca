from __future__ import annotations

import pytest

from briarseam import malformed
from briarseam.platform import engines
from briarseam.weights import orders

REPORT = b'{"models":[{"name":"m","version":2}],"busy":false,"seq":3}'


class Answer:
    """What an engine answered."""

    status = 200

    def __init__(self, data):
        self.data = data


class AnsweredClient(engines.EngineClient):
    """A client whose calls are all answered alike."""

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


def test_report_is_read(counted):
    assert report(REPORT, counted) == orders.Report({"m": 2}, False, 3)
    assert counted == []


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(REPORT[:-1], id="cut short"),
        pytest.param(REPORT.replace(b"3", b'"3"'), id="seq a text"),
        pytest.param(REPORT.replace(b"2", b"-2"), id="version below zero"),
        pytest.param(
            REPORT.replace(b"2", b"9" * 30), id="version beyond 64 bits"
        ),
        pytest.param(b'{"x":' + b"[" * 100_000, id="nested deeply"),
    ],
)
def test_report_that_cannot_be_read_is_none_and_counts(counted, data):
    """An engine tells weights with a number beyond 64 bits.

    It was taken in and told to peers; no message carried it, and the
    heartbeats of this instance ended.
    """
    with pytest.raises(orders.EngineUnavailableError):
        report(data, counted)
    assert counted == [malformed.Kind.ENGINE_REPORT]
