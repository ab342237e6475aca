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


def me(name="one"):
    return registrations.Registration(name, "127.0.0.1:1", "north", "a")


@pytest.fixture
def registered(store):
    client = stores.StoreClient(store.address)
    made = registrations.Registrations(client, TOPIC, me())
    follower = following.Follower(client, TOPIC, made, 0.2)
    follower.start()
    made.start()
    yield made
    made.stop()
    follower.stop()


def test_instance_registers_and_leaves(store, registered):
    waiting.until(lambda: "one" in store.newest_of(TOPIC))
    waiting.until(
        lambda: [row.name for row in registered.read().instances] == ["one"]
    )
    assert registered.zone_of("one") == "a"
    registered.stop()
    assert "one" not in store.newest_of(TOPIC)


def test_lost_registration_is_written_again(store, registered, monkeypatch):
    monkeypatch.setattr(registrations, "REVIEW_S", 0.05)
    waiting.until(lambda: "one" in store.newest_of(TOPIC))
    store.write_raw(TOPIC, "one", b"")
    waiting.until(lambda: "one" in store.newest_of(TOPIC))


def test_registration_that_another_writer_overwrote_is_written_again(
    store, registered, monkeypatch
):
    monkeypatch.setattr(registrations, "REVIEW_S", 0.05)
    waiting.until(lambda: "one" in registered.by_name)
    store.write_raw(TOPIC, "one", b"\xff")
    waiting.until(
        lambda: store.newest_of(TOPIC)["one"] == registrations.encode(me())
    )


def test_instance_of_an_earlier_release_is_listed():
    """Instances are replaced one after the other by a new release."""
    data = msgpack.packb(["127.0.0.1:1", "north", "a"])
    assert registrations.decode("one", data) == me()
    assert registrations.decode("one", registrations.encode(me())) == me()


def test_unread_topic_is_no_empty_list(store):
    client = stores.StoreClient(store.address)
    made = registrations.Registrations(client, TOPIC, me())
    with pytest.raises(instances.InstanceListUnavailableError):
        made.read()


def test_instances_that_start_at_once_agree_on_one_secret(store):
    found = []

    def agree():
        client = stores.StoreClient(store.address)
        found.append(
            registrations.agree_on_secret(
                client, TOPIC, framing.encode_keyed, threading.Event()
            )
        )

    threads = [threading.Thread(target=agree) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10)
    assert len(found) == 8
    assert len(set(found)) == 1


def instances_of(zone, count, first=0):
    return [
        registrations.Registration(f"{zone}-{number}", "", "north", zone)
        for number in range(first, first + count)
    ]


def sizes_of(rows):
    cells = registrations.cells_of(rows)
    return collections.Counter(cells.values())


def test_small_region_is_one_cell():
    rows = [*instances_of("a", 16), *instances_of("b", 16)]
    assert sizes_of(rows) == {"north": registrations.CELL_MEMBERS}


def test_large_region_is_cut_by_availability_zone():
    """85 instances in three zones: two of three heartbeats cross zones."""
    rows = [*instances_of("a", 27), *instances_of("b", 25)]
    assert sizes_of(rows) == {"north/a/0": 27, "north/b/0": 25}


def test_zone_of_a_few_more_than_a_cell_stays_whole():
    rows = [*instances_of("a", 33), *instances_of("b", 25)]
    assert sizes_of(rows) == {"north/a/0": 33, "north/b/0": 25}


def test_large_zone_is_cut_into_cells():
    rows = [*instances_of("a", 90), *instances_of("b", 2)]
    sizes = sizes_of(rows)
    assert sum(sizes.values()) == 92
    assert sizes.keys() == {"north/a/0", "north/a/1", "north/a/2", "north/b/0"}


def test_instance_knows_its_cell_before_it_is_registered():
    """Another one's heartbeat comes first."""
    made = registrations.Registrations(None, TOPIC, me())
    made.apply_all([])
    assert made.cell_of("one", "north") == "north"
    assert made.cell_of("never registered", "north") == "north"


def test_new_reading_is_seen_whole_or_not_at_all(monkeypatch):
    """The topic is read anew after its history was lost.  While it is
    taken in, membership reads the list and takes all others as gone.
    """
    made = registrations.Registrations(None, TOPIC, me())
    rows = [me("one"), me("two")]
    changes = [
        records.KeyedRecord(row.name, registrations.encode(row))
        for row in rows
    ]
    made.apply_all(changes)
    seen = []
    decode = registrations.decode

    def watched(name, data):
        seen.append(len(made.read().instances))
        return decode(name, data)

    monkeypatch.setattr(registrations, "decode", watched)
    made.apply_all(changes)
    assert seen == [2, 2]


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"\xc1", id="no msgpack"),
        pytest.param(msgpack.packb(["127.0.0.1:1", "north"]), id="too short"),
        pytest.param(msgpack.packb({"address": "127.0.0.1:1"}), id="no list"),
        pytest.param(
            msgpack.packb([7, "north", "a", 1.0]), id="address a number"
        ),
        pytest.param(
            msgpack.packb(["nowhere", "north", "a", 1.0]), id="no address"
        ),
        pytest.param(
            msgpack.packb(["127.0.0.1:1", "north", "a", float("nan")]),
            id="weight not a number",
        ),
        pytest.param(
            msgpack.packb(["127.0.0.1:1", "north", "a", -1]),
            id="weight below zero",
        ),
        pytest.param(b"\x91" * 5000, id="nested deeply"),
    ],
)
def test_registration_that_cannot_be_read_names_no_instance(value):
    """Another writer leaves a record among the registrations.

    None of that read were taken in: an instance that had just started knew
    no peer, and was the only one in its own eyes.
    """
    made = registrations.Registrations(None, TOPIC, me())
    good = registrations.encode(me("two"))
    made.apply_all(
        [
            records.KeyedRecord("bad", value),
            records.KeyedRecord("two", good),
        ]
    )
    assert set(made.by_name) == {"two"}
    made.apply_changes(
        [
            records.KeyedRecord("two", value),
            records.KeyedRecord("three", good),
        ]
    )
    assert set(made.by_name) == {"three"}


def test_secret_is_agreed_on_behind_a_record_of_another_writer(store):
    """Another writer was the first to write to the topic of registrations.

    The secret had to be its first record, so there was never one: no
    instance met another, and all asked the store without a pause.
    """
    store.write_raw(TOPIC, "foreign", b"\xff")
    found = collections.Counter()

    def agree():
        client = stores.StoreClient(store.address)
        found[
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
    assert found == {secret: 8}


def test_secret_is_not_asked_for_without_a_pause():
    """Somebody writes to the topic all the time."""
    stopping = threading.Event()
    asked = []

    class Busy:
        def newest(self, topic):
            asked.append(topic)
            return records.KeyedBatch((), len(asked))

        def append(self, topic, items, at=None):
            raise records.SupersededError("it ends elsewhere")

    thread = threading.Thread(
        target=registrations.agree_on_secret,
        args=(Busy(), TOPIC, lambda key, value: value, stopping),
    )
    thread.start()
    stopping.wait(0.5)
    stopping.set()
    thread.join(5.0)
    assert 1 < len(asked) < 20


def test_secret_that_another_instance_makes_is_waited_for(monkeypatch):
    """Hundreds of instances start at once, and the store counts each call.

    Each read the topic, tried to write a secret, and read again.
    """
    rows = registrations.Registrations(None, TOPIC, me())
    rows.apply_all(())
    monkeypatch.setattr(registrations.random, "uniform", lambda a, b: 10.0)
    stopping = threading.Event()
    waiting_for = threading.Thread(
        target=registrations.wait_for_secret, args=(rows, stopping)
    )
    waiting_for.start()
    waiting_for.join(0.1)
    assert waiting_for.is_alive()
    rows.apply_changes(
        (records.KeyedRecord(registrations.SECRET_KEY, b"made"),)
    )
    waiting_for.join(1.0)
    assert not waiting_for.is_alive()
    assert rows.secret == b"made"


def test_wait_for_a_secret_ends_with_the_process():
    stopping = threading.Event()
    stopping.set()
    rows = registrations.Registrations(None, TOPIC, me())
    registrations.wait_for_secret(rows, stopping)
