"""Which instances of other cells get a notice."""

from __future__ import annotations

import collections
import random

import pytest

from briarseam.placement import notice_recipients
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock()


def recipients_of(count, clock):
    addresses = [f"10.0.0.{number}:1" for number in range(count)]
    return notice_recipients.Recipients(
        lambda: addresses, clock, random.Random(1)
    )


def test_all_get_a_notice_while_the_budget_allows(clock):
    recipients = recipients_of(46, clock)
    for _ in range(100):
        addresses, skipped = recipients.take(15)
        assert len(set(addresses)) == 46
        assert not skipped
        clock.now_s += 46 / 250


def test_none_is_left_out_regularly_over_the_budget(clock):
    """Guards against recipients that never know of others' work.

    Twenty notices a second to 46 recipients are 920 datagrams a second.
    """
    recipients = recipients_of(46, clock)
    got = collections.Counter()
    left_out = 0
    for _ in range(2000):
        clock.now_s += 0.05
        addresses, skipped = recipients.take(15)
        assert len(addresses) + skipped == 46
        got.update(addresses)
        left_out += skipped
    assert got.total() == pytest.approx(250 * 100, rel=0.02)
    assert got.total() + left_out == 2000 * 46
    assert len(got) == 46
    assert min(got.values()) > 0.8 * got.total() / 46


def test_burst_is_bounded_with_many_instances(clock):
    recipients = recipients_of(1000, clock)
    addresses, skipped = recipients.take(30)
    assert len(addresses) == notice_recipients.MAX_BURST
    assert skipped == 1000 - len(addresses)
    addresses, skipped = recipients.take(30)
    assert (addresses, skipped) == ([], 1000)


def test_small_cells_are_not_flooded_by_a_large_one(clock):
    """Guards against 2,500 datagrams a second to an instance.

    Each of fifty instances may send as much as its budget allows to five.
    """
    recipients = recipients_of(5, clock)
    sent = 0
    for _ in range(10_000):
        clock.now_s += 0.01
        sent += len(recipients.take(50)[0])
    received_per_s = sent / 100 * 50 / 5
    assert received_per_s < 260


def test_single_cell_sends_no_notices(clock):
    assert recipients_of(0, clock).take(31) == ([], 0)
