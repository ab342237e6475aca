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


def test_link_never_exceeds_its_budget(link, clock):
    """Requests arrive much faster than the link may carry their blocks.

    If the bucket could not become negative, each import would pass while
    the bucket is not empty.
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


def test_import_that_would_wait_too_long_takes_no_budget(link):
    """An import is refused, and does not delay those after it."""
    link.reserve(5000, max_wait_s=1.0)

    assert link.reserve(100, max_wait_s=1.0) is None
    assert link.wait_s() == pytest.approx((5000 - 250) / RATE)


def test_exports_wait_for_imports(link, clock):
    """Imports, for which callers wait, have emptied the bucket."""
    link.reserve(1000, max_wait_s=1.0)
    assert not link.reserve_idle(100)

    clock.now_s += 2.0

    assert link.reserve_idle(100)


def test_one_transfer_detects_slower_link(link, clock):
    """A link slows down to a tenth of its rate.

    With the old prediction, imports over it would delay callers.
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


def test_overdue_transfer_lowers_rate_before_it_ends(link, clock):
    """A link stalls during an import that has not ended yet.

    No further imports must be sent over it.
    """
    for _ in range(3):
        move(link, clock, 1000, RATE)
        clock.now_s += 5
    before = link.predict_duration_s(100)
    link.begin(1000)

    clock.now_s += 20.0

    assert link.predict_duration_s(100) > 10 * before


def test_slow_link_is_tried_again_after_a_while(link, clock):
    """A slow link recovers, but nothing is imported over it any more.

    If the low rate did not expire, the link would be avoided for ever.
    """
    for _ in range(5):
        move(link, clock, 100, RATE / 100)
    assert link.predict_duration_s(1000) > 20

    clock.now_s += 10 * links.RECOVERY_DOUBLING_S

    assert link.predict_duration_s(1000) == pytest.approx(
        1.0 + links.LATENCY_S, rel=0.1
    )


def test_concurrent_transfers_do_not_lower_observed_rate(link, clock):
    """Two concurrent imports each get half of the link's rate."""
    link.configure(0)
    first = link.begin(1000)
    second = link.begin(1000)
    clock.now_s += 2000 / RATE
    link.end(first, 1000)
    link.end(second, 1000)

    assert link.recovered_rate(clock.now_s) == pytest.approx(RATE, rel=0.05)
