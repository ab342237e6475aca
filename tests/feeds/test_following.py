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


def test_changes_are_handed_on_in_order(store, listener):
    store.write_raw(TOPIC, "a", b"1")
    store.write_raw(TOPIC, "a", b"2")
    store.write_raw(TOPIC, "before", b"")
    waiting.until(lambda: listener.known == {"a": b"2"})


def test_everything_is_read_anew_where_history_is_lost(store, listener):
    """The store forgets its history while a follower is behind.  Changes
    in the gap would never be seen if it read on from where it was.
    """
    store.set(outage=True)
    waiting.until(lambda: listener.losses > 0)
    store.write_raw(TOPIC, "a", b"1")
    store.write_raw(TOPIC, "before", b"")
    store.forget(TOPIC)
    store.set(outage=False)
    waiting.until(lambda: listener.known == {"a": b"1"})
    assert listener.snapshots == 2


def test_record_that_cannot_be_taken_in_does_not_stop_later_ones(
    store, listener
):
    store.write_raw(TOPIC, "bad", b"poison")
    waiting.until(lambda: store.calls["log-read"] > 1)
    store.write_raw(TOPIC, "good", b"1")
    waiting.until(lambda: "good" in listener.known)


def test_change_is_seen_soon_after_a_store_that_hung_is_back(store):
    """A cut between an instance and the store heals while a long poll still
    hangs in it.  With polls of full length, what changed in the cut was in
    force six seconds after its end, and callers got 404 for new routes.
    """
    asked = []

    class HangingStore(stores.StoreClient):
        def read_keyed(self, topic, start, wait_s):
            asked.append(wait_s)
            if len(asked) == 1:
                raise records.StoreUnavailableError("timed out")
            return super().read_keyed(topic, start, wait_s)

    listening = fakes.FakeListener()
    follower = following.Follower(
        HangingStore(store.address), TOPIC, listening, wait_s=0.3
    )
    follower.start()
    waiting.until(lambda: len(asked) > 3)
    follower.stop()
    assert asked[0] == 0.3
    assert asked[1] == 0.0
    assert asked[2] == 0.3


def test_store_client_tells_refusals_from_unknown_outcomes(store):
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


def test_conditional_append_is_refused_where_somebody_else_wrote(store):
    client = stores.StoreClient(store.address)
    start = client.newest("own").next
    assert client.append("own", (b"x", b"y"), at=start) == 0
    with pytest.raises(records.SupersededError):
        client.append("own", (b"z",), at=start)
    assert client.append("own", (b"z",), at=start + 2) == 2


class Faulty:
    """A store whose client has a fault of its own, once."""

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


def test_fault_of_ours_does_not_end_the_following(store):
    """A read fails in a way that nobody thought of.

    The thread ended, and the instance served for ever what was in force.
    """
    listening = fakes.FakeListener()
    client = Faulty(stores.StoreClient(store.address))
    follower = following.Follower(client, TOPIC, listening, wait_s=0.3)
    store.write_raw(TOPIC, "a", b"1")
    follower.start()
    waiting.until(lambda: listening.known == {"a": b"1"})
    follower.stop()


class Hasty:
    """A store that answers at once that there is nothing new."""

    def __init__(self):
        self.reads = 0

    def newest(self, topic):
        return records.KeyedBatch((), 0)

    def read_keyed(self, topic, start, wait_s):
        self.reads += 1
        return records.KeyedBatch((), start)


def test_who_answers_at_once_with_nothing_is_not_asked_as_fast():
    """A store was asked four thousand times a second while it was well."""
    store = Hasty()
    follower = following.Follower(
        store, TOPIC, fakes.FakeListener(), wait_s=0.3
    )
    follower.start()
    time.sleep(0.5)
    follower.stop()
    assert 0 < store.reads <= 0.5 / following.EMPTY_PAUSE_S + 2
