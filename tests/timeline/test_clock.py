from __future__ import annotations

import threading

from briarseam.timeline import clock as clocks

SECOND = 1_000_000_000


class Wall:
    def __init__(self, seconds: float) -> None:
        self.ns = int(seconds * SECOND)

    def __call__(self) -> int:
        return self.ns


def test_stamps_follow_the_wall_clock_and_never_repeat():
    # An operator reads stamps as times; two events of one process must
    # still differ when the wall clock stands still or steps back.
    wall = Wall(1000)
    clock = clocks.HybridClock(wall)
    first = clock.now()
    second = clock.now()
    wall.ns -= 5 * SECOND
    third = clock.now()
    wall.ns += 10 * SECOND
    fourth = clock.now()
    assert first < second < third < fourth
    assert clocks.seconds_of(first) == 1000
    assert clocks.seconds_of(fourth) == 1005


def test_effect_is_later_than_cause_when_the_receiver_is_behind():
    # The receiver's wall clock is two seconds behind the sender's.  Sorted
    # by wall time the grant would stand before the request for it.
    ahead = clocks.HybridClock(Wall(1002))
    behind = clocks.HybridClock(Wall(1000))
    asked = ahead.now()
    assert behind.observe(asked)
    assert behind.now() > asked


def test_one_wild_clock_does_not_drag_the_others_along():
    # One instance boots with its clock in another year and says hello to
    # all.  Taken over, its time would stand on every later event.
    clock = clocks.HybridClock(Wall(1000))
    wild = clocks.HybridClock(Wall(1_000_000)).now()
    assert not clock.observe(wild)
    assert clock.refused == 1
    assert clocks.seconds_of(clock.now()) == 1000


def test_zero_and_older_stamps_change_nothing():
    # A peer without a clock sends 0; a late reply carries an old stamp.
    clock = clocks.HybridClock(Wall(1000))
    last = clock.now()
    assert clock.observe(0)
    assert clock.observe(last - 1)
    assert clock.last == last


def test_threads_never_share_a_stamp():
    # Two connection threads note events at once on one clock.
    clock = clocks.HybridClock(Wall(1000))
    stamps: list[list[int]] = [[] for _ in range(4)]

    def draw(into: list[int]) -> None:
        into.extend(clock.now() for _ in range(500))

    threads = [threading.Thread(target=draw, args=(s,)) for s in stamps]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    drawn = [stamp for one in stamps for stamp in one]
    assert len(set(drawn)) == 2000


def test_iso_time_is_utc_to_the_millisecond():
    # What the text view prints beside each event.
    assert clocks.iso_of(clocks.stamp_of(1.5)) == "1970-01-01T00:00:01.500Z"
