from __future__ import annotations

import collections
import threading

import msgpack
import pytest

from briarseam.backing import instances
from briarseam.feeds import following
from briarseam.feeds import records
from briarseam.peers import registrations
from briarseam.platform import framing
from briarseam.platform import store as stores
from briarseam.testing import waiting
from tests.platform import metadata_store

TOPIC = "keyed.members"


@pytest.fixture
def store():
    with metadata_store.MetadataStore() as started:
        yield started


def registration(name="one"):
    return registrations.Registration(name, "127.0.0.1:1", "north", "a")


@pytest.fixture
def registered(store):
    client = stores.StoreClient(store.address)
    registered = registrations.Registrations(client, TOPIC, registration())
    follower = following.Follower(client, TOPIC, registered, 0.2)
    follower.start()
    registered.start()
    yield registered
    registered.stop()
    follower.stop()


def test_instance_registers_at_start_and_unregisters_at_stop(
    store, registered
):
    waiting.until(lambda: "one" in store.newest_of(TOPIC))
    waiting.until(
        lambda: [row.name for row in registered.read().instances] == ["one"]
    )
    assert registered.zone_of("one") == "a"
    registered.stop()
    assert "one" not in store.newest_of(TOPIC)


def test_deleted_registration_is_written_again(store, registered, monkeypatch):
    monkeypatch.setattr(registrations, "REVIEW_S", 0.05)
    waiting.until(lambda: "one" in store.newest_of(TOPIC))
    store.write_raw(TOPIC, "one", b"")
    waiting.until(lambda: "one" in store.newest_of(TOPIC))


def test_overwritten_registration_is_written_again(
    store, registered, monkeypatch
):
    monkeypatch.setattr(registrations, "REVIEW_S", 0.05)
    waiting.until(lambda: "one" in registered.by_name)
    store.write_raw(TOPIC, "one", b"\xff")
    waiting.until(
        lambda: (
            store.newest_of(TOPIC)["one"]
            == registrations.encode(registration())
        )
    )


def test_registration_of_earlier_release_is_decoded():
    """Guards against unknown instances during an upgrade.

    Instances are upgraded one after another, and those of earlier releases
    write registrations without a weight.
    """
    data = msgpack.packb(["127.0.0.1:1", "north", "a"])
    assert registrations.decode("one", data) == registration()
    assert (
        registrations.decode("one", registrations.encode(registration()))
        == registration()
    )


def test_list_is_unavailable_before_the_topic_is_read(store):
    client = stores.StoreClient(store.address)
    registered = registrations.Registrations(client, TOPIC, registration())
    with pytest.raises(instances.InstanceListUnavailableError):
        registered.read()


def test_instances_started_together_agree_on_one_secret(store):
    secrets = []

    def agree():
        client = stores.StoreClient(store.address)
        secrets.append(
            registrations.agree_on_secret(
                client, TOPIC, framing.encode_keyed, threading.Event()
            )
        )

    threads = [threading.Thread(target=agree) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10)
    assert len(secrets) == 8
    assert len(set(secrets)) == 1


def instances_of(zone, count, first=0):
    return [
        registrations.Registration(f"{zone}-{number}", "", "north", zone)
        for number in range(first, first + count)
    ]


def cell_sizes(rows):
    cells = registrations.assign_cells(rows)
    return collections.Counter(cells.values())


def test_small_region_is_one_cell():
    rows = [*instances_of("a", 16), *instances_of("b", 16)]
    assert cell_sizes(rows) == {"north": registrations.CELL_MEMBERS}


def test_large_region_is_split_by_availability_zone():
    """Guards against heartbeat traffic between zones.

    In one cell of three zones, two of three heartbeats cross zones.
    """
    rows = [*instances_of("a", 27), *instances_of("b", 25)]
    assert cell_sizes(rows) == {"north/a/0": 27, "north/b/0": 25}


def test_zone_slightly_larger_than_a_cell_is_one_cell():
    rows = [*instances_of("a", 33), *instances_of("b", 25)]
    assert cell_sizes(rows) == {"north/a/0": 33, "north/b/0": 25}


def test_large_zone_is_split_into_cells():
    rows = [*instances_of("a", 90), *instances_of("b", 2)]
    sizes = cell_sizes(rows)
    assert sum(sizes.values()) == 92
    assert sizes.keys() == {"north/a/0", "north/a/1", "north/a/2", "north/b/0"}


def test_cell_is_known_before_the_instance_is_registered():
    """A heartbeat of a peer may arrive before the registration is read."""
    registered = registrations.Registrations(None, TOPIC, registration())
    registered.apply_all([])
    assert registered.cell_of("one", "north") == "north"
    assert registered.cell_of("never registered", "north") == "north"


def test_list_is_replaced_atomically(monkeypatch):
    """Guards against a partial list while the whole topic is read again.

    Membership reads the list at any time and counts instances that are
    missing from it as gone.
    """
    registered = registrations.Registrations(None, TOPIC, registration())
    rows = [registration("one"), registration("two")]
    changes = [
        records.KeyedRecord(row.name, registrations.encode(row))
        for row in rows
    ]
    registered.apply_all(changes)
    listed_counts = []
    decode = registrations.decode

    def decode_and_count(name, data):
        listed_counts.append(len(registered.read().instances))
        return decode(name, data)

    monkeypatch.setattr(registrations, "decode", decode_and_count)
    registered.apply_all(changes)
    assert listed_counts == [2, 2]


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"\xc1", id="invalid msgpack"),
        pytest.param(msgpack.packb(["127.0.0.1:1", "north"]), id="too short"),
        pytest.param(
            msgpack.packb({"address": "127.0.0.1:1"}), id="not a list"
        ),
        pytest.param(
            msgpack.packb([7, "north", "a", 1.0]), id="address is a number"
        ),
        pytest.param(
            msgpack.packb(["nowhere", "north", "a", 1.0]),
            id="address without a port",
        ),
        pytest.param(
            msgpack.packb(["127.0.0.1:1", "north", "a", float("nan")]),
            id="weight not a number",
        ),
        pytest.param(
            msgpack.packb(["127.0.0.1:1", "north", "a", -1]),
            id="negative weight",
        ),
        pytest.param(b"\x91" * 5000, id="deeply nested"),
    ],
)
def test_malformed_registration_is_ignored(value):
    """Guards against one malformed record discarding a whole read.

    Another writer adds a record to the topic; an instance that has just
    started would then know no peers.
    """
    registered = registrations.Registrations(None, TOPIC, registration())
    good = registrations.encode(registration("two"))
    registered.apply_all(
        [
            records.KeyedRecord("bad", value),
            records.KeyedRecord("two", good),
        ]
    )
    assert set(registered.by_name) == {"two"}
    registered.apply_changes(
        [
            records.KeyedRecord("two", value),
            records.KeyedRecord("three", good),
        ]
    )
    assert set(registered.by_name) == {"three"}


def test_secret_is_agreed_on_after_a_record_of_another_writer(store):
    """Guards against a secret that must be the first record of the topic.

    If another writer was first, no secret would ever be written: instances
    could not connect, and would query the store without a pause.
    """
    store.write_raw(TOPIC, "foreign", b"\xff")
    agreed = collections.Counter()

    def agree():
        client = stores.StoreClient(store.address)
        agreed[
            registrations.agree_on_secret(
                client, TOPIC, framing.encode_keyed, stopping
            )
        ] += 1

    stopping = threading.Event()
    threads = [threading.Thread(target=agree) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(5.0)
    stopping.set()
    secret = store.newest_of(TOPIC)[registrations.SECRET_KEY]
    assert agreed == {secret: 8}


def test_attempts_to_agree_on_a_secret_are_paced():
    """Guards against a busy loop while other writers append to the topic."""
    stopping = threading.Event()
    reads = []

    class BusyStore:
        def newest(self, topic):
            reads.append(topic)
            return records.KeyedBatch((), len(reads))

        def append(self, topic, items, at=None):
            raise records.SupersededError("the topic has grown")

    thread = threading.Thread(
        target=registrations.agree_on_secret,
        args=(BusyStore(), TOPIC, lambda key, value: value, stopping),
    )
    thread.start()
    stopping.wait(0.5)
    stopping.set()
    thread.join(5.0)
    assert 1 < len(reads) < 20


def test_secret_of_another_instance_is_waited_for(monkeypatch):
    """Guards against load on the store when hundreds of instances start.

    Without the wait each of them reads the topic, tries to write a secret,
    and reads again.
    """
    registered = registrations.Registrations(None, TOPIC, registration())
    registered.apply_all(())
    monkeypatch.setattr(registrations.random, "uniform", lambda a, b: 10.0)
    stopping = threading.Event()
    waiter = threading.Thread(
        target=registrations.wait_for_secret, args=(registered, stopping)
    )
    waiter.start()
    waiter.join(0.1)
    assert waiter.is_alive()
    registered.apply_changes(
        (records.KeyedRecord(registrations.SECRET_KEY, b"made"),)
    )
    waiter.join(1.0)
    assert not waiter.is_alive()
    assert registered.secret == b"made"


def test_wait_for_a_secret_ends_when_the_process_stops():
    stopping = threading.Event()
    stopping.set()
    registered = registrations.Registrations(None, TOPIC, registration())
    registrations.wait_for_secret(registered, stopping)
