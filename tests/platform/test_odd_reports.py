"""Odd reports of engines."""

from __future__ import annotations

import pytest

from briarseam import malformed
from briarseam.platform import engines
from briarseam.weights import orders


class Answer:
    """Response of an engine."""

    status = 200

    def __init__(self, data, **headers):
        self.data = data
        self.headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }


@pytest.fixture
def noted():
    return []


@pytest.fixture
def client(noted, monkeypatch):
    made = engines.EngineClient(malformed.Tally(noted.append))
    made.answers = []
    monkeypatch.setattr(
        made.pool, "request", lambda *_args, **_rest: made.answers.pop(0)
    )
    return made


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff", id="not UTF-8"),
        pytest.param(b'{"x":' + b"[" * 10**6, id="nested"),
        pytest.param(b'{"seq":-1}', id="orders negative"),
        pytest.param(b'{"seq":%s}' % (b"9" * 6000), id="orders of digits"),
        pytest.param(b'{"seq":1e300}', id="orders too many"),
        pytest.param(b'{"born":"x"}', id="start as text"),
        pytest.param(b'{"models":[7]}', id="odd model"),
        pytest.param(
            b'{"models":[{"name":"m","version":1e400}]}', id="version infinite"
        ),
    ],
)
def test_odd_report_is_counted_and_the_next_one_holds(client, noted, data):
    """Guards against an error that ends the thread following engines."""
    client.answers = [Answer(data), Answer(b'{"seq":1}')]
    with pytest.raises(orders.EngineUnavailableError):
        client.report("127.0.0.1:1", "e1")
    assert noted == [malformed.Kind.ENGINE_REPORT]
    assert client.report("127.0.0.1:1", "e1").orders_taken == 1


def test_number_of_orders_that_goes_back_is_told_as_it_is(client):
    client.answers = [
        Answer(b'{"seq":9007199254740992}'),
        Answer(b'{"seq":1}'),
    ]
    assert client.report("127.0.0.1:1", "e1").orders_taken == 2**53
    assert client.report("127.0.0.1:1", "e1").orders_taken == 1


@pytest.mark.parametrize("flag", ["", "2", "true", "1" * 9000, "\x00"])
def test_odd_header_does_not_make_an_engine_leave(client, flag):
    left = []
    client.on_leaving = left.append
    client.answers = [Answer(b"{}", Server_Leaving=flag)]
    client.report("127.0.0.1:1", "e1")
    assert not left
