from __future__ import annotations

import msgpack
from tests.leases import conftest

from briarseam.leases import outcomes

NAME = "models/draft"
TTL_S = conftest.TTL_S


def test_lease_is_held_by_one_and_given_back(log, clock):
    first = log.join("a", clock)
    second = log.join("b", clock)
    assert first.acquire(NAME) == outcomes.Held(1)
    refused = second.acquire(NAME)
    assert refused == outcomes.NotHeld(first.holder, TTL_S)
    first.release(NAME)
    assert first.holds(NAME) is None
    assert second.acquire(NAME) == outcomes.Held(3)


def test_holder_stops_before_a_successor_may_begin(log, clock):
    """The holder can no longer renew; its lease must end first for itself.

    At every moment at most one of the two believes to hold it.
    """
    first = log.join("a", clock)
    second = log.join("b", clock)
    first.acquire(NAME)
    taken_over = None
    while taken_over is None:
        clock.now_s += 0.1
        log.deliver()
        if isinstance(second.acquire(NAME), outcomes.Held):
            taken_over = clock.now_s
            assert first.holds(NAME) is None
        elif first.holds(NAME) is None:
            assert second.holds(NAME) is None
    assert taken_over >= 100 + TTL_S


def test_validity_counts_from_before_the_append(log, clock):
    """The append takes half a ttl; a successor read it when it arrived.

    Counted from the answer, the holder would outlive its lease.
    """
    first = log.join("a", clock)

    def slow():
        clock.now_s += TTL_S / 2

    log.before_append = slow
    first.acquire(NAME)
    log.before_append = lambda: None
    clock.now_s = 100 + 0.76 * TTL_S
    assert first.holds(NAME) is None


def test_successor_waits_the_whole_ttl_from_its_own_reading(log, clock):
    """The successor reads the last renewal late, as the log was slow."""
    first = log.join("a", clock)
    first.acquire(NAME)
    clock.now_s += TTL_S - 1
    second = log.join("b", clock)
    clock.now_s += 2
    log.deliver()
    match second.acquire(NAME):
        case outcomes.NotHeld(holder, retry_after_s):
            assert holder == first.holder
            assert retry_after_s == TTL_S - 2
        case other:
            raise AssertionError(other)


def test_frozen_holder_no_longer_holds_when_it_wakes(log, clock):
    """SIGSTOP for longer than the ttl; the clock went on meanwhile.

    Before it reads anything it must not give orders, and after reading
    it must know that it was succeeded; a late renewal changes nothing.
    """
    first = log.join("a", clock)
    second = log.join("b", clock)
    first.acquire(NAME)
    log.paused.add("a")
    clock.now_s += TTL_S + 0.1
    log.deliver()
    assert second.acquire(NAME) == outcomes.Held(2)
    assert first.holds(NAME) is None
    first.renew()
    log.paused.clear()
    log.deliver()
    assert first.holds(NAME) is None
    assert second.holds(NAME) == 2


def test_renewal_keeps_all_leases_with_one_append(log, clock):
    first = log.join("a", clock)
    for name in ("x", "y", "z"):
        first.acquire(name)
    before = first.appends
    for _ in range(8):
        clock.now_s += TTL_S / 4
        log.deliver()
        first.renew()
    assert first.appends - before == 8
    assert set(first.held()) == {"x", "y", "z"}


def test_renewal_under_way_does_not_revive_a_released_lease(log, clock):
    """The lease is given back while a renewal is on its way.

    The renewal is read back first; another process may already have
    acquired after the release, so it must not count.
    """
    first = log.join("a", clock)
    first.acquire(NAME)
    log.paused.add("a")
    log.before_append = lambda: first.tenures.pop(NAME, None)
    first.renew()
    log.paused.clear()
    log.deliver()
    assert first.holds(NAME) is None


def test_lost_answer_is_settled_by_reading(log, clock):
    first = log.join("a", clock)
    log.lose_answer = True
    assert first.acquire(NAME) == outcomes.Held(1)
    assert len(log.entries) == 1


def test_log_down_gives_no_lease_and_ends_the_held_one(log, clock):
    first = log.join("a", clock)
    first.acquire(NAME)
    log.down = True
    clock.now_s += TTL_S / 2
    first.renew()
    assert first.holds(NAME) == 1
    clock.now_s += TTL_S / 2
    assert first.holds(NAME) is None
    assert isinstance(first.acquire(NAME), outcomes.LogUnavailable)


def test_restarted_process_is_another_holder(log, clock):
    """An agent is replaced under its old name within the ttl.

    Its former self may only be frozen, so the new one waits as well.
    """
    log.join("a", clock).acquire(NAME)
    again = log.join("a", clock)
    assert isinstance(again.acquire(NAME), outcomes.NotHeld)


def test_records_missed_end_every_lease_for_a_ttl(log, clock):
    """While this agent was away the log dropped records it had not read.

    They may have given its lease to another.
    """
    first = log.join("a", clock)
    first.acquire(NAME)
    log.paused.add("a")
    for name in ("x", "y"):
        log.join("b", clock).acquire(name)
    log.first = 3
    log.paused.clear()
    log.deliver()
    assert first.holds(NAME) is None
    assert isinstance(first.acquire(NAME), outcomes.NotHeld)
    clock.now_s += TTL_S
    log.deliver()
    assert isinstance(first.acquire(NAME), outcomes.Held)


def test_log_that_was_set_up_anew_ends_every_lease_for_a_ttl(log, clock):
    """The platform replaced the log and its records are gone.

    A lease from before must not stand beside one from the new log.
    """
    first = log.join("a", clock)
    first.reacquire(NAME)
    first.reacquire(NAME)
    log.entries.clear()
    log.deliver()
    assert first.holds(NAME) is None
    assert isinstance(first.acquire(NAME), outcomes.NotHeld)
    clock.now_s += TTL_S
    log.deliver()
    assert first.acquire(NAME) == outcomes.Held(1)


def test_record_of_a_newer_release_ends_and_stops_leases(log, clock):
    first = log.join("a", clock)
    first.acquire(NAME)
    log.append("leases", msgpack.packb([2, "borrow", {}]))
    assert first.holds(NAME) is None
    assert isinstance(first.acquire(NAME), outcomes.LogUnavailable)


def test_malformed_record_changes_nothing(log, clock):
    first = log.join("a", clock)
    log.append("leases", b"\xc1junk")
    assert first.acquire(NAME) == outcomes.Held(2)


def test_lagging_configuration_gets_no_lease(log, clock):
    """One agent acts on a change that another has not read yet.

    Were the second to take the lease next, it would undo the change.
    """
    first = log.join("a", clock)
    second = log.join("b", clock)
    first.acquire(NAME, basis=7)
    first.release(NAME)
    assert second.acquire(NAME, basis=6) == outcomes.Outdated(7)
    assert isinstance(second.acquire(NAME, basis=7), outcomes.Held)


def test_new_number_voids_the_old_one(log, clock):
    first = log.join("a", clock)
    second = log.join("b", clock)
    first.acquire(NAME)
    assert first.reacquire(NAME) == outcomes.Held(2)
    assert isinstance(second.reacquire(NAME), outcomes.NotHeld)
