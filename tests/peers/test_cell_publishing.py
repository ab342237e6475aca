from __future__ import annotations

import pytest
import structlog.testing

from briarseam.peers import cell_publishing
from briarseam.wire import replies

EVENT = "cell_not_told"


@pytest.fixture
def cut_off():
    return {"b"}


@pytest.fixture
def reached():
    return []


@pytest.fixture
def send(cut_off, reached):
    def send_to(address):
        if address in cut_off:
            raise replies.NoReplyError("cut off")
        reached.append(address)

    return send_to


def test_cell_that_is_not_reached_keeps_no_other_from_the_message(
    send, reached
):
    publisher = cell_publishing.CellPublisher(EVENT)
    publisher.publish(["a", "b", "c"], send)
    assert reached == ["a", "c"]
    assert publisher.unreached == frozenset({"b"})


def test_cell_is_logged_once_until_it_is_reached_again(send, cut_off):
    """Guards against a line for each message while a cell is cut off."""
    publisher = cell_publishing.CellPublisher(EVENT)
    with structlog.testing.capture_logs() as lines:
        publisher.publish(["b"], send)
        publisher.publish(["b"], send)
        cut_off.clear()
        publisher.publish(["b"], send)
        cut_off.add("b")
        publisher.publish(["b"], send)
    assert [line["event"] for line in lines] == [EVENT, EVENT]
