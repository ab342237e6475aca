from __future__ import annotations

import pytest

from briarseam.cache import links
from tests import clocks

RATE = 1000.0


@pytest.fixture
def clock():
    return clocks.ManualClock(0.0)


@pytest.fixture
def link(clock):
    return links.Link(clock, RATE)


def move(link, clock, size, rate):
    transfer = link.begin(size)
    clock.now_s += size / rate
    link.end(transfer, size)


def test_a_link_never_carries_more_than_its_budget(link, clock):
    """Requests come much faster than the link may carry their blocks.

    Without the debt, each would pass because the bucket is not yet empty.
    """
    carried = 0.0
    for _ in range(1000):
        wait_s = link.reserve(400, max_wait_s=1.0)
        if wait_s is not None:
            carried += 400
        clock.now_s += 0.01

    budget = RATE * (clock.now_s + links.BURST_S) + 400
    assert carried <= budget + RATE * 1.0
    assert carried >= 0.9 * RATE * clock.now_s


def test_an_import_that_would_wait_too_long_takes_no_budget(link):
    """A large import is refused; a small one after it is not held up."""
    link.reserve(5000, max_wait_s=1.0)

    assert link.reserve(100, max_wait_s=1.0) is None
    assert link.wait_s() == pytest.approx((5000 - 250) / RATE)


def test_exports_wait_behind_imports(link, clock):
    """Imports have drained the bucket; a caller waits for each of them."""
    link.reserve(1000, max_wait_s=1.0)
    assert not link.reserve_idle(100)

    clock.now_s += 2.0

    assert link.reserve_idle(100)


def test_a_link_that_slows_to_a_tenth_is_noticed_by_one_transfer(link, clock):
    """A link slows down; imports that used to pay would make callers wait.

    The first transfer on it changes the prediction.
    """
    link.configure(0)
    for _ in range(5):
        move(link, clock, 1000, RATE)
    before = link.predict_duration_s(1000)

    move(link, clock, 1000, RATE / 10)

    assert link.predict_duration_s(1000) > 2 * before
    move(link, clock, 1000, RATE / 10)
    move(link, clock, 1000, RATE / 10)
    assert link.predict_duration_s(1000) > 5 * before


def test_an_overdue_transfer_is_noticed_before_it_ends(link, clock):
    """A link stops; the import on it has not come back yet.

    Others must not be sent after it meanwhile.
    """
    for _ in range(3):
        move(link, clock, 1000, RATE)
        clock.now_s += 5
    before = link.predict_duration_s(100)
    link.begin(1000)

    clock.now_s += 20.0

    assert link.predict_duration_s(100) > 10 * before


def test_a_link_that_was_slow_is_tried_again(link, clock):
    """A slow link recovers, but nothing is imported over it any more.

    Without forgetting it would be avoided for ever.
    """
    for _ in range(5):
        move(link, clock, 100, RATE / 100)
    assert link.predict_duration_s(1000) > 20

    clock.now_s += 10 * links.RECOVERY_DOUBLING_S

    assert link.predict_duration_s(1000) == pytest.approx(
        1.0 + links.LATENCY_S, rel=0.1
    )


def test_transfers_that_share_a_link_do_not_look_slow(link, clock):
    """Two imports at once each get half of the link."""
    link.configure(0)
    first = link.begin(1000)
    second = link.begin(1000)
    clock.now_s += 2000 / RATE
    link.end(first, 1000)
    link.end(second, 1000)

    assert link.recovered_rate(clock.now_s) == pytest.approx(RATE, rel=0.05)
