"""The store is restored from a backup."""

from __future__ import annotations

import contextlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import structlog

from briarseam.discovery import registry as registries
from briarseam.feeds import following
from briarseam.feeds import record_cache
from briarseam.feeds import records
from briarseam.feeds import sharing
from briarseam.feeds import topic_reader
from briarseam.peers import registrations
from briarseam.platform import endpoints
from briarseam.platform import names
from briarseam.platform import store as stores
from briarseam.testing import http_messages
from briarseam.testing import waiting
from briarseam.weights import goal_times
from briarseam.weights import goals
from briarseam.weights import leader
from tests import clocks
from tests.feeds import fakes
from tests.platform import metadata_store

TOPIC = "keyed.things"
LEASE_S = 3.0


@pytest.fixture
def store():
    with metadata_store.MetadataStore() as started:
        yield started


@pytest.fixture
def client(store):
    return stores.StoreClient(store.address)


def follower_of(client, listener, topic=TOPIC):
    """Return a follower after its first read; the test makes the others."""
    follower = following.Follower(client, topic, listener, wait_s=0.0)
    follower.read_once()
    return follower


def restore_with(store, old, *keys, topic=TOPIC):
    """Restore a backup; others write before a follower reads again."""
    store.restore(old)
    for key in keys:
        store.write_raw(topic, key, b"new")


def test_records_written_before_a_followers_offset_are_not_missed(
    store, client
):
    """Guards against reading on from an offset that was assigned again."""
    old = store.copy()
    for key in ("a", "b"):
        store.write_raw(TOPIC, key, b"old")
    listener = fakes.FakeListener()
    follower = follower_of(client, listener)
    restore_with(store, old, "c", "d", "e")
    follower.read_once()
    follower.read_once()
    assert set(listener.known) == {"c", "d", "e"}
    assert listener.losses == 1


@pytest.mark.parametrize("first_era", [0, 1])
def test_restore_is_logged_from_any_era(store, client, first_era):
    """Guards against treating the first era as unknown if it is 0."""
    store.era = first_era
    with structlog.testing.capture_logs() as lines:
        client.newest(TOPIC)
        store.restore(store.copy())
        client.newest(TOPIC)
    eras = {"era": first_era + 1, "former_era": first_era}
    assert lines == [
        {"event": "store_restored", "log_level": "warning"} | eras
    ]


def test_offsets_of_different_eras_are_distinguished(store, client):
    """Guards against a reader that returns records of another era."""
    store.write_raw(TOPIC, "a", b"old")
    before = client.newest(TOPIC).next
    store.restore(store.copy())
    after = client.newest(TOPIC).next
    assert records.number_of(before) == records.number_of(after)
    cache = record_cache.RecordCache(clocks.ManualClock())
    cache.reset(after)
    assert cache.read(before, 0.0) is record_cache.MissReason.UNKNOWN
    cache.reset(before)
    assert cache.read(after, 0.0) is record_cache.MissReason.UNKNOWN


def test_cell_follows_the_restored_store_through_its_reader(
    store, monkeypatch
):
    """Guards against queries with offsets of another era."""
    monkeypatch.setattr(topic_reader.TopicReader, "start", lambda self: None)
    readers = fakes.FakeReaders()
    for name in ("reader", "member"):
        readers.instances[name] = sharing.SharedReads(
            stores.StoreClient(store.address), [TOPIC], readers, name
        )
    reading, querying = fakes.FakeListener(), fakes.FakeListener()
    old = store.copy()
    store.write_raw(TOPIC, "a", b"old")
    first = follower_of(readers.instances["reader"], reading)
    second = follower_of(readers.instances["member"], querying)
    reader = readers.instances["reader"]
    reader.start_reading()
    reader.active_readers[TOPIC].read_once()
    restore_with(store, old, "b", "c")
    for _ in range(3):
        reader.active_readers[TOPIC].read_once()
        first.read_once()
        second.read_once()
    assert set(reading.known) == set(querying.known) == {"b", "c"}


def test_late_answer_from_before_the_restore_is_rejected(store, client):
    """Guards against going back to content that the store has lost."""
    client.newest(TOPIC)
    store.restore(store.copy())
    client.newest(TOPIC)
    store.era -= 1
    with pytest.raises(records.StoreUnavailableError):
        client.newest(TOPIC)


def test_fencing_numbers_rise_when_generations_go_back(store, client):
    """Guards against orders that engines refuse after a restore."""
    clock = clocks.ManualClock()
    leadership = leader.Leadership(
        client, "group", "topic", "me", 0.0, clock=clock
    )
    old = store.copy()
    for member in ("one", "two"):
        client.join("group", member, "topic", LEASE_S, 0)
        client.leave("group", member)
    leadership.join_once()
    before = leadership.fence()
    store.restore(old)
    leadership.join_once()
    assert leadership.generation < before + (1 << records.ERA_BITS)
    assert leadership.fence() > before


def test_holders_in_one_era_have_different_fencing_numbers(store, client):
    """Guards against fencing numbers derived from the era alone."""
    store.restore(store.copy())
    first = client.join("group", "one", "topic", LEASE_S, 0)
    client.leave("group", "one")
    second = client.join("group", "two", "topic", LEASE_S, 0)
    assert first.parts == second.parts
    assert second.generation > first.generation


def test_registration_and_secret_are_written_again(store, monkeypatch):
    """Guards against a second secret, which would split the members."""
    monkeypatch.setattr(registrations, "REVIEW_S", 0.1)
    topic = names.MEMBERS_TOPIC
    client = stores.StoreClient(store.address)
    rows = registrations.Registrations(
        client,
        topic,
        registrations.Registration("one", "127.0.0.1:1", "r", "a"),
    )
    follower = following.Follower(client, topic, rows, 0.2)
    old = store.copy()
    store.write_raw(topic, registrations.SECRET_KEY, b"agreed")
    follower.start()
    waiting.until(lambda: rows.secret == b"agreed")
    rows.agreed_secret = b"agreed"
    rows.start()
    waiting.until(lambda: "one" in store.newest_of(topic))
    store.restore(old)
    waiting.until(
        lambda: (
            store.newest_of(topic).keys() == {"one", registrations.SECRET_KEY}
        )
    )
    assert store.newest_of(topic)[registrations.SECRET_KEY] == b"agreed"
    store.write_raw(topic, registrations.SECRET_KEY, b"another")
    waiting.until(
        lambda: store.newest_of(topic)[registrations.SECRET_KEY] == b"agreed"
    )
    rows.stop()
    follower.stop()


def test_secret_is_not_written_into_an_era_that_was_not_read(store, client):
    """Guards against a condition that holds by chance after a restore."""
    end = client.newest(TOPIC).next
    store.restore(store.copy())
    with pytest.raises(records.SupersededError):
        client.append(TOPIC, (b"\x01ax",), at=end)


def test_goal_times_are_written_again(store, client):
    """Guards against goals that seem new after a restart of all processes."""
    history = goals.GoalHistory()
    kept = goal_times.GoalTimes(
        client, TOPIC, history, lambda: True, era=lambda: client.era
    )
    kept.step()
    old = store.copy()
    history.add(goals.WeightGoal("m", 2))
    kept.step()
    assert "m" in store.newest_of(TOPIC)
    store.restore(old)
    client.newest("keyed.other")
    kept.step()
    assert "m" in store.newest_of(TOPIC)


def test_endpoints_with_missing_entries_are_kept_for_a_while(store, client):
    """Guards against dropping live endpoints at once."""
    clock = clocks.ManualClock()
    gone = []
    registry = registries.EndpointRegistry(
        endpoints.decode_endpoint, gone.append, clock
    )
    entry = {
        "service": "s",
        "address": "127.0.0.1:9",
        "zone": "a",
        "slots": 4,
        "state": "ready",
    }
    old = store.copy()
    store.write(TOPIC, "e1", entry)
    follower = follower_of(client, registry)
    (known,) = registry.serving("s")
    store.restore(old)
    follower.read_once()
    follower.read_once()
    assert registry.serving("s") == [known]
    assert gone == []
    clock.now_s += registries.LAPSE_HOLD_S + 0.1
    follower.read_once()
    assert registry.serving("s") == []
    assert gone == [frozenset({known.id})]


class Unstarted(sharing.SharedReads):
    """Reads through a cell's reader, whose thread is not started."""

    def start_reading(self):
        if not self.active_readers:
            cache = record_cache.RecordCache(self.clock)
            cache.resume(self.tails[TOPIC])
            self.caches = {TOPIC: cache}
            self.active_readers = {
                TOPIC: topic_reader.TopicReader(
                    self.store, TOPIC, cache, topic_reader.OutageGate()
                )
            }


class RestoredStore(stateful.RuleBasedStateMachine):
    """Records are written, backups made and restored, and followers read.

    One follower reads the store itself, one is the reader of its cell, and
    one queries that reader.
    """

    def __init__(self):
        super().__init__()
        self.store = metadata_store.MetadataStore()
        readers = fakes.FakeReaders()
        self.clock = clocks.ManualClock()
        for name in ("reader", "member"):
            readers.instances[name] = Unstarted(
                InProcessClient(self.store), [TOPIC], readers, name, self.clock
            )
        self.reader = readers.instances["reader"]
        self.listeners = [
            fakes.FakeListener(),
            fakes.FakeListener(),
            fakes.FakeListener(),
        ]
        reads = [InProcessClient(self.store), *readers.instances.values()]
        self.followers = [
            follower_of(read, listener)
            for read, listener in zip(reads, self.listeners, strict=True)
        ]
        self.copies = [self.store.copy()]

    @stateful.rule(
        key=strategies.sampled_from("abcd"), count=strategies.integers(1, 3)
    )
    def write(self, key, count):
        for number in range(count):
            self.store.write_raw(TOPIC, key, bytes([number + 1]))

    @stateful.rule(key=strategies.sampled_from("abcd"))
    def drop(self, key):
        self.store.write_raw(TOPIC, key, b"")

    @stateful.rule()
    def copy(self):
        self.copies.append(self.store.copy())

    @stateful.rule(which=strategies.integers(0, 100))
    def restore(self, which):
        self.store.restore(self.copies[which % len(self.copies)])

    @stateful.rule()
    def forget_history(self):
        self.store.forget(TOPIC)

    @stateful.rule(which=strategies.integers(0, 2))
    def read(self, which):
        self.clock.now_s += 1.0
        # Queries fail until the reader has read for the first time.
        with contextlib.suppress(records.StoreUnavailableError):
            self.followers[which].read_once()

    @stateful.rule()
    def read_for_the_cell(self):
        if self.reader.active_readers:
            self.reader.active_readers[TOPIC].read_once()

    @stateful.invariant()
    def nothing_is_missed(self):
        present = self.store.newest_of(TOPIC)
        for follower, listener in zip(
            self.followers, self.listeners, strict=True
        ):
            at = follower.next
            end = records.in_era(self.store.era, len(self.store.topics[TOPIC]))
            if at == end:
                assert listener.known == present


class InProcessClient(stores.StoreClient):
    """Client whose calls are answered by a store in this process."""

    def __init__(self, store):
        super().__init__("127.0.0.1:1")
        self.store = store
        self.pool = self

    def urlopen(self, method, url, body=None, **_options):
        path, _, query = url.partition("?")
        fields = dict(part.split("=") for part in query.split("&"))
        response = self.store.answer(
            http_messages.Request(
                method,
                tuple(path.strip("/").split("/")),
                {**fields, "waitMs": "0"},
                {},
                body or b"",
                None,
            )
        )
        return Response(response)


class Response:
    """Response with the attributes of the HTTP library."""

    def __init__(self, response):
        self.status = response.status
        self.data = response.body
        self.headers = dict(response.headers)


RestoredStore.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestRestoredStore = RestoredStore.TestCase
