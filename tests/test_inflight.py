from __future__ import annotations

import threading

import pytest

from briarseam import inflight

SHORT_S = 0.05
PATIENCE_S = 10.0


@pytest.fixture
def in_flight():
    return inflight.InFlight()


def test_look_and_refusal_are_one_step(in_flight):
    """A process that is told to stop finds nothing in flight and ends.  A
    request that came between the look and the end was passed on and lost;
    now the look itself makes the next request a refused one.
    """
    assert in_flight.enter()
    assert not in_flight.refuse_if_idle()
    assert not in_flight.refusing
    in_flight.leave()
    assert in_flight.refuse_if_idle()
    assert in_flight.enter()
    assert in_flight.refusing


def test_request_is_not_read_once_closed(in_flight):
    assert in_flight.close(0.0)
    assert not in_flight.enter()
    assert in_flight.count == 0


def test_closing_waits_for_the_refusal_that_is_being_sent(in_flight):
    """A request is read and refused just before the process ends; its
    caller has the refusal before the connection ends.
    """
    assert in_flight.enter()
    in_flight.move_to(inflight.Stage.REFUSING)
    timer = threading.Timer(SHORT_S, in_flight.leave)
    timer.start()
    assert in_flight.close(PATIENCE_S)
    timer.join()


def test_closing_has_an_end(in_flight):
    """A caller that never sends the rest of a request holds no process."""
    assert in_flight.enter()
    assert not in_flight.close(SHORT_S)
    assert not in_flight.enter()


def test_stage_never_goes_back(in_flight):
    in_flight.move_to(inflight.Stage.REFUSING)
    in_flight.move_to(inflight.Stage.LEAVING)
    assert in_flight.refusing
    assert in_flight.leaving
