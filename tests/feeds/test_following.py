from __future__ import annotations

import time

import pytest

from briarseam import clocks
from briarseam.feeds import following
from briarseam.feeds import records
from briarseam.platform import store as stores
from briarseam.testing import waiting
from tests.feeds import fakes
from tests.platform import metadata_store

TOPIC = "keyed.things"
TIMEOUT_S = 10


@pytest.fixture
def store():
    with metadata_store.MetadataStore() as started:
        yield started


@pytest.fixture
def listener(store):
    listening = fakes.FakeListener()
    follower = following.Follower(
        stores.StoreClient(store.address), TOPIC, listening, wait_s=0.3
    )
    store.write_raw(TOPIC, "before", b"1")
    follower.start()
    waiting.until(lambda: listening.snapshots == 1)
    yield listening
    follower.stop()


def test_changes_are_delivered_in_order(store, listener):
    store.write_raw(TOPIC, "a", b"1")
    store.write_raw(TOPIC, "a", b"2")
    store.write_raw(TOPIC, "before", b"")
    waiting.until(lambda: listener.known == {"a": b"2"})


def test_all_content_is_read_again_after_history_is_lost(store, listener):
    """Guard against missed changes when the store drops its history.

    A follower that is behind would never see the dropped changes if it
    continued from its own offset.
    """
    store.set(outage=True)
    waiting.until(lambda: listener.losses > 0)
    store.write_raw(TOPIC, "a", b"1")
    store.write_raw(TOPIC, "before", b"")
    store.forget(TOPIC)
    store.set(outage=False)
    waiting.until(lambda: listener.known == {"a": b"1"})
    assert listener.snapshots == 2


def test_record_that_cannot_be_applied_does_not_block_later_ones(
    store, listener
):
    store.write_raw(TOPIC, "bad", b"poison")
    waiting.until(lambda: store.calls["log-read"] > 1)
    store.write_raw(TOPIC, "good", b"1")
    waiting.until(lambda: "good" in listener.known)


def test_first_read_after_a_failed_one_does_not_wait(store):
    """Guard against changes that take effect late after a network partition.

    A full long poll may still hang when the partition ends.  Changes then
    took effect six seconds later, and callers got 404 for new routes.
    """
    waits = []

    class HangingStore(stores.StoreClient):
        def read_keyed(self, topic, start, wait_s):
            waits.append(wait_s)
            if len(waits) == 1:
                raise records.StoreUnavailableError("timed out")
            return super().read_keyed(topic, start, wait_s)

    listening = fakes.FakeListener()
    follower = following.Follower(
        HangingStore(store.address), TOPIC, listening, wait_s=0.3
    )
    follower.start()
    waiting.until(lambda: len(waits) > 3)
    follower.stop()
    assert waits[0] == 0.3
    assert waits[1] == 0.0
    assert waits[2] == 0.3


def test_store_client_distinguishes_refusals_from_unknown_outcomes(store):
    client = stores.StoreClient(store.address)
    store.set(outage=True)
    with pytest.raises(records.StoreUnavailableError) as refused:
        client.put(TOPIC, "a", b"1")
    assert not refused.value.may_have_run
    store.set(outage=False, lose_answers=1)
    with pytest.raises(records.StoreUnavailableError) as lost:
        client.put(TOPIC, "a", b"1")
    assert lost.value.may_have_run
    assert store.newest_of(TOPIC)["a"] == b"1"


def test_conditional_append_is_refused_after_another_write(store):
    client = stores.StoreClient(store.address)
    start = client.newest("own").next
    assert client.append("own", (b"x", b"y"), at=start) == 0
    with pytest.raises(records.SupersededError):
        client.append("own", (b"z",), at=start)
    assert client.append("own", (b"z",), at=start + 2) == 2


class Faulty:
    """A store whose first call raises an unexpected error."""

    def __init__(self, client):
        self.client = client
        self.faults = 1

    def newest(self, topic):
        if self.faults:
            self.faults -= 1
            raise KeyError(topic)
        return self.client.newest(topic)

    def read_keyed(self, topic, start, wait_s):
        return self.client.read_keyed(topic, start, wait_s)


def test_unexpected_error_does_not_end_the_thread(store):
    """Guard against an instance that keeps serving outdated content.

    An unexpected error of a read would end the follower's thread.
    """
    listening = fakes.FakeListener()
    client = Faulty(stores.StoreClient(store.address))
    follower = following.Follower(client, TOPIC, listening, wait_s=0.3)
    store.write_raw(TOPIC, "a", b"1")
    follower.start()
    waiting.until(lambda: listening.known == {"a": b"1"})
    follower.stop()


class Hasty:
    """A store that answers empty reads at once."""

    def __init__(self):
        self.reads = 0

    def newest(self, topic):
        return records.KeyedBatch((), 0)

    def read_keyed(self, topic, start, wait_s):
        self.reads += 1
        return records.KeyedBatch((), start)


def test_empty_reads_are_followed_by_a_pause():
    """Guard against a busy loop of reads.

    A healthy store that answered empty reads at once got four thousand
    calls a second.
    """
    store = Hasty()
    follower = following.Follower(
        store, TOPIC, fakes.FakeListener(), wait_s=0.3
    )
    follower.start()
    time.sleep(0.5)
    follower.stop()
    assert 0 < store.reads <= 0.5 / following.EMPTY_PAUSE_S + 2


@pytest.fixture
def follower(store):
    """A follower with long polls that has read all content."""
    listening = fakes.FakeListener()
    started = following.Follower(
        stores.StoreClient(store.address), TOPIC, listening, wait_s=0.3
    )
    started.start()
    waiting.until(lambda: listening.snapshots == 1)
    yield started
    started.stop()


def test_read_that_begins_after_a_time_is_complete_until_then(store, follower):
    """Guards against a change that was written before someone asked."""
    store.write_raw(TOPIC, "a", b"1")
    asked_s = clocks.boot_clock()
    assert follower.await_complete(asked_s, TIMEOUT_S)
    assert follower.listener.known == {"a": b"1"}
    assert follower.read_until_s >= asked_s


def test_wait_for_a_read_ends_at_once_while_the_store_is_away(store, follower):
    """Guards against requests that wait for a store that is gone."""
    store.set(outage=True)
    waiting.until(lambda: not follower.available)
    begin_s = clocks.boot_clock()
    assert not follower.await_complete(begin_s, TIMEOUT_S)
    assert clocks.boot_clock() - begin_s < 1.0


def test_reads_are_continuous_over_an_outage(store, follower):
    """Guards against a minute of refusals after each outage."""
    since_s = follower.continuous_since_s
    store.set(outage=True)
    waiting.until(lambda: not follower.available)
    store.set(outage=False)
    waiting.until(lambda: follower.available)
    assert follower.continuous_since_s == since_s


def test_reads_are_not_continuous_over_dropped_history(store, follower):
    """Guards against a key that came and went unread."""
    since_s = follower.continuous_since_s
    store.set(outage=True)
    waiting.until(lambda: not follower.available)
    store.write_raw(TOPIC, "a", b"1")
    store.write_raw(TOPIC, "a", b"")
    store.forget(TOPIC)
    store.set(outage=False)
    waiting.until(lambda: follower.available)
    asked_s = clocks.boot_clock()
    assert follower.await_complete(asked_s, TIMEOUT_S)
    assert follower.continuous_since_s > since_s


def test_reads_are_not_continuous_over_a_record_that_was_not_applied(
    store, follower
):
    """Guards against a change that is lost with its record."""
    since_s = follower.continuous_since_s
    store.write_raw(TOPIC, "bad", b"poison")
    assert follower.await_complete(clocks.boot_clock(), TIMEOUT_S)
    assert follower.continuous_since_s > since_s
