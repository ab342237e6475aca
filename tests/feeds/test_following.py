from __future__ import annotations

import time

import pytest

from briarseam.feeds import following
from briarseam.feeds import records
from briarseam.platform import store as stores
from briarseam.testing import waiting
from tests.feeds import fakes
from tests.platform import metadata_store

TOPIC = "keyed.things"


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
