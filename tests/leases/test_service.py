from __future__ import annotations

import msgpack
from tests.leases import conftest

from briarseam.leases import outcomes

NAME = "models/draft"
TTL_S = conftest.TTL_S


def test_lease_has_one_holder_until_it_is_released(log, clock):
    first = log.join("a", clock)
    second = log.join("b", clock)
    assert first.acquire(NAME) == outcomes.Held(1)
    refused = second.acquire(NAME)
    assert refused == outcomes.NotHeld(first.holder, TTL_S)
    first.release(NAME)
    assert first.holds(NAME) is None
    assert second.acquire(NAME) == outcomes.Held(3)


def test_lease_ends_for_its_holder_before_a_successor_acquires_it(log, clock):
    """A holder that can't renew must stop before a successor starts.

    At any time at most one of the two holds the lease.
    """
    first = log.join("a", clock)
    second = log.join("b", clock)
    first.acquire(NAME)
    acquired_s = None
    while acquired_s is None:
        clock.now_s += 0.1
        log.deliver()
        if isinstance(second.acquire(NAME), outcomes.Held):
            acquired_s = clock.now_s
            assert first.holds(NAME) is None
        elif first.holds(NAME) is None:
            assert second.holds(NAME) is None
    assert acquired_s >= 100 + TTL_S


def test_lease_is_valid_from_before_the_append(log, clock):
    """Guards against a lease that ends too late after a slow append.

    The append takes half a ttl, and a successor counts from when it reads
    the record, which is before the holder gets the reply.
    """
    first = log.join("a", clock)

    def advance_clock():
        clock.now_s += TTL_S / 2

    log.before_append = advance_clock
    first.acquire(NAME)
    log.before_append = lambda: None
    clock.now_s = 100 + 0.76 * TTL_S
    assert first.holds(NAME) is None


def test_successor_waits_a_ttl_from_its_own_read(log, clock):
    """The successor reads the last renewal late, since the log is slow."""
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


def test_frozen_holder_does_not_hold_the_lease_when_resumed(log, clock):
    """A process is stopped by SIGSTOP for longer than the ttl.

    It must give no orders before it reads the stream, and must see its
    successor after reading; a late renewal has no effect.
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


def test_all_leases_are_renewed_with_one_append(log, clock):
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


def test_renewal_in_transit_does_not_restore_a_released_lease(log, clock):
    """The lease is released while a renewal is in transit.

    The renewal is read back before the release.  It must not count, since
    another process may acquire the lease after the release.
    """
    first = log.join("a", clock)
    first.acquire(NAME)
    log.paused.add("a")
    log.before_append = lambda: first.held_leases.pop(NAME, None)
    first.renew()
    log.paused.clear()
    log.deliver()
    assert first.holds(NAME) is None


def test_append_with_lost_reply_is_settled_by_reading(log, clock):
    first = log.join("a", clock)
    log.lose_reply = True
    assert first.acquire(NAME) == outcomes.Held(1)
    assert len(log.entries) == 1


def test_unavailable_log_ends_held_lease_and_prevents_acquiring(log, clock):
    first = log.join("a", clock)
    first.acquire(NAME)
    log.unavailable = True
    clock.now_s += TTL_S / 2
    first.renew()
    assert first.holds(NAME) == 1
    clock.now_s += TTL_S / 2
    assert first.holds(NAME) is None
    assert isinstance(first.acquire(NAME), outcomes.LogUnavailable)


def test_restarted_process_is_another_holder(log, clock):
    """An agent is replaced under its name within the ttl.

    The former process may only be frozen, so the new one has to wait.
    """
    log.join("a", clock).acquire(NAME)
    restarted = log.join("a", clock)
    assert isinstance(restarted.acquire(NAME), outcomes.NotHeld)


def test_missed_records_end_every_lease_for_a_ttl(log, clock):
    """The log removes records that an agent has not read yet.

    They may have granted the agent's lease to another.
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


def test_replaced_log_ends_every_lease_for_a_ttl(log, clock):
    """The platform replaces the log by an empty one.

    A lease of the former log must not be held beside one of the new log.
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


def test_record_of_a_newer_release_ends_and_prevents_leases(log, clock):
    first = log.join("a", clock)
    first.acquire(NAME)
    log.append("leases", msgpack.packb([2, "borrow", {}]))
    assert first.holds(NAME) is None
    assert isinstance(first.acquire(NAME), outcomes.LogUnavailable)


def test_malformed_record_is_ignored(log, clock):
    first = log.join("a", clock)
    log.append("leases", b"\xc1junk")
    assert first.acquire(NAME) == outcomes.Held(2)


def test_process_with_older_configuration_gets_no_lease(log, clock):
    """Guards against undoing a change that an agent has not read yet.

    Another agent has given orders under the changed configuration; the one
    that acquires the lease next would revert them.
    """
    first = log.join("a", clock)
    second = log.join("b", clock)
    first.acquire(NAME, basis=7)
    first.release(NAME)
    assert second.acquire(NAME, basis=6) == outcomes.Outdated(7)
    assert isinstance(second.acquire(NAME, basis=7), outcomes.Held)


def test_reacquired_lease_has_a_new_fencing_number(log, clock):
    first = log.join("a", clock)
    second = log.join("b", clock)
    first.acquire(NAME)
    assert first.reacquire(NAME) == outcomes.Held(2)
    assert isinstance(second.reacquire(NAME), outcomes.NotHeld)
