from __future__ import annotations

import pytest

from briarseam.placement import avoidance
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def avoided(clock):
    return avoidance.Avoided(clock)


def test_endpoint_that_broke_off_an_answer_is_avoided_for_a_while(
    avoided, clock
):
    avoided.add("e")
    avoided.record_entry("e")
    assert "e" in avoided
    clock.now_s += avoidance.AVOID_S
    assert "e" not in avoided


def test_endpoint_whose_address_another_has_is_avoided_until_its_entry(
    avoided, clock
):
    """Guards against sending to a start that is gone once a second: it seems
    idle, since it runs nothing, so most requests would try it first.
    """
    avoided.add_unconfirmed("e", 0.0)
    clock.now_s += 2 * avoidance.AVOID_S
    assert "e" in avoided
    avoided.record_entry("e")
    assert "e" not in avoided


def test_entry_read_right_after_a_failed_connection_ends_nothing(
    avoided, clock
):
    """Guards against trusting an entry written before the endpoint ended."""
    avoided.add_unconfirmed("e", 1.0)
    avoided.record_entry("e")
    assert "e" in avoided
    clock.now_s += 1.0
    avoided.record_entry("e")
    assert "e" not in avoided


def test_endpoint_is_used_again_although_no_entries_are_read(avoided, clock):
    """Guards against a service without endpoints while the store is away."""
    avoided.add_unconfirmed("e", 1.0)
    clock.now_s += avoidance.UNCONFIRMED_S
    assert "e" not in avoided


def test_ended_avoidances_and_gone_endpoints_are_forgotten(avoided, clock):
    avoided.add("e")
    avoided.add_unconfirmed("f", 0.0)
    avoided.add_unconfirmed("g", 0.0)
    clock.now_s += avoidance.AVOID_S
    avoided.forget_old({"e", "f"})
    assert list(avoided.by_id) == ["f"]
