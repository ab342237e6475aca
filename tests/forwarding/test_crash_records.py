from __future__ import annotations

import pytest

from briarseam import malformed
from briarseam.feeds import records
from briarseam.forwarding import crash_records
from briarseam.forwarding import loss_counts
from briarseam.forwarding import trial_ledger
from briarseam.forwarding import trial_messages as messages
from briarseam.testing import waiting
from tests import clocks

PART = b"part"
TOPIC = "keyed.crashes"
ENDPOINTS = ("e1", "e2", "e3")
TRIAL = messages.TrialRow(b"1", (PART,), messages.TrialState.LOST)


class Store:
    """A store with one keyed topic."""

    def __init__(self):
        self.values = {}
        self.is_away = False

    def newest(self, topic):
        if self.is_away:
            raise records.StoreUnavailableError("away")
        rows = [records.KeyedRecord(*row) for row in self.values.items()]
        return records.KeyedBatch(tuple(rows), 0)

    def put(self, topic, key, value):
        if self.is_away:
            raise records.StoreUnavailableError("away")
        self.values[key] = value


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def noted():
    return []


@pytest.fixture
def tally(noted):
    return malformed.Tally(noted.append)


@pytest.fixture
def start(store, tally, clock):
    """Return a function that starts an instance's records."""
    started = []

    def start_one():
        losses = loss_counts.LossCounts(clock)
        ledger = trial_ledger.TrialLedger(losses, clock)
        one = crash_records.CrashRecords(
            store, TOPIC, losses, ledger, tally, clock, clock
        )
        one.start()
        started.append(one)
        return one

    yield start_one
    for one in started:
        one.stop()
        one.thread.join(5.0)


def save(one, store):
    """Lose the trial of a part that was lost before."""
    for endpoint in ENDPOINTS:
        one.losses.record_loss(PART, endpoint, one.clock())
    one.ledger.apply((TRIAL,))
    one.save((PART,))
    waiting.until(lambda: store.values.get(PART.hex()))


def test_part_is_suspected_after_all_instances_ended(start, store):
    """Guards against crashes that all instances forget at once."""
    save(start(), store)
    successor = start()
    waiting.until(successor.loaded.is_set)
    assert successor.losses.suspects((PART,)) == (PART,)
    [trial] = successor.ledger.rows(frozenset((PART,)))
    assert trial.state is messages.TrialState.LOST


def test_record_goes_when_the_part_is_answered(start, store):
    """Guards against a part that each start suspects again."""
    save(start(), store)
    successor = start()
    waiting.until(successor.loaded.is_set)
    successor.remove((PART,))
    waiting.until(lambda: store.values[PART.hex()] is None)
    assert successor.stored == set()


def test_part_without_a_record_costs_no_call(start, store):
    one = start()
    waiting.until(one.loaded.is_set)
    one.remove((PART,))
    assert one.writes.empty()


def test_old_record_is_removed(start, store, clock):
    save(start(), store)
    clock.now_s += crash_records.MAX_AGE_MS / crash_records.MS + 1
    successor = start()
    waiting.until(lambda: store.values[PART.hex()] is None)
    assert successor.losses.suspects((PART,)) == ()


def test_instance_does_not_wait_long_for_a_store_that_is_away(
    start, store, clock
):
    """Guards against instances that take no requests without the store."""
    store.is_away = True
    one = start()
    assert not one.is_settled()
    clock.now_s += crash_records.MAX_WAIT_S
    assert one.is_settled()
    store.is_away = False
    waiting.until(one.loaded.is_set)


def test_malformed_record_is_counted_and_others_are_read(start, store, noted):
    save(start(), store)
    store.values["no hex"] = b"\x93"
    store.values[b"other".hex()] = b"\x93"
    successor = start()
    waiting.until(successor.loaded.is_set)
    assert successor.losses.suspects((PART,)) == (PART,)
    assert noted == [malformed.Kind.STORE_RECORD] * 2
