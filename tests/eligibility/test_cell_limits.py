from __future__ import annotations

import pytest

from briarseam.discovery import announcements
from briarseam.discovery import model as discovery
from briarseam.eligibility import cell_limits
from briarseam.eligibility import rate_limits
from briarseam.wire import replies
from tests import clocks
from tests.eligibility import test_rate_limits

ENDPOINT = discovery.Endpoint("e", "s", "127.0.0.1:1", "a", 8)


class Cell:
    """One cell; its speaker reaches the speaker of one other cell."""

    def __init__(self, name, clock, speaks=True):
        self.own_name = name
        self.speaks = speaks
        self.other = None
        self.limits = rate_limits.RateLimits(
            test_rate_limits.Senders(False), clock, lambda: 0.0
        )
        self.sharing = cell_limits.CellLimits(self.limits, self, clock)

    def name(self):
        return self.own_name

    def is_speaker(self):
        return self.speaks

    def addresses(self):
        return ["b"]

    def publish_rate_limits(self, address, message):
        if self.other is None:
            raise replies.NoReplyError("cut off")
        self.other.sharing.answer(message)

    def hear(self, limit):
        self.limits.record_answer("e", limit, self.limits.clock())

    def is_limited(self):
        return not self.limits.with_room([ENDPOINT])


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def here(clock):
    return Cell("a/0", clock)


@pytest.fixture
def there(clock, here):
    here.other = Cell("b/0", clock)
    return here.other


def test_limit_reaches_another_cell_and_its_instances(here, there, clock):
    """Guards against cells that learn of a limit only by their own sends."""
    here.hear(announcements.RateLimit(2.0))
    here.sharing.review()
    assert there.is_limited()
    peer = Cell("b/0", clock, speaks=False)
    peer.sharing.consume("b", there.sharing.provide())
    assert peer.is_limited()


def test_end_of_a_limit_reaches_another_cell(here, there, clock):
    here.hear(announcements.RateLimit(2.0))
    here.sharing.review()
    clock.now_s += 1.0
    here.hear(announcements.NO_RATE_LIMIT)
    here.sharing.review()
    assert not there.is_limited()


def test_news_is_not_relayed_back_or_for_long(here, there, clock):
    """Guards against news that cells repeat to each other for ever."""
    here.hear(announcements.RateLimit(2.0))
    here.sharing.review()
    assert not there.limits.cell_rows()
    fresh = Cell("d/0", clock)
    fresh.sharing.consume("x", there.sharing.provide())
    assert fresh.is_limited()
    clock.now_s += cell_limits.RELAY_S
    late = Cell("c/0", clock)
    late.sharing.consume("x", there.sharing.provide())
    assert not late.is_limited()


def test_instance_ignores_its_own_cells_news_from_elsewhere(here, there):
    here.hear(announcements.RateLimit(2.0))
    here.sharing.review()
    there.sharing.own_name = "a/0"
    same = Cell("a/0", here.sharing.clock)
    same.sharing.received["a/0"] = there.sharing.received["a/0"]
    same.sharing.consume("x", same.sharing.provide())
    assert not same.is_limited()


def test_only_the_speaker_publishes(here, there):
    here.speaks = False
    here.hear(announcements.RateLimit(2.0))
    here.sharing.review()
    assert not there.is_limited()


def test_cell_that_is_not_reached_does_not_stop_publishing(here):
    here.hear(announcements.RateLimit(2.0))
    here.sharing.review()
    assert here.sharing.publisher.unreached == frozenset({"b"})
