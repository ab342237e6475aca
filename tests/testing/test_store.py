from __future__ import annotations

import time

import pytest
import urllib3

from briarseam.testing import checksums
from briarseam.testing import waiting
from tests.testing import calls


def put(store, name, content):
    checksum = checksums.checksum_of(content)
    path = f"/blocks/{name}"
    return calls.call("PUT", store.address, path, content, x_checksum=checksum)


def get(store, name):
    return calls.call("GET", store.address, f"/blocks/{name}")


def state(store):
    return calls.call("GET", store.address, "/state").json()


def test_keeps_blocks_under_names_used_once(make_store):
    store = make_store()
    assert put(store, "a", b"one").json()["bytes"] == 3
    assert put(store, "a", b"two").status == 409
    answer = get(store, "a")
    assert answer.data == b"one"
    assert answer.headers["X-Checksum"] == checksums.checksum_of(b"one")
    for _ in range(2):
        deleted = calls.call("DELETE", store.address, "/blocks/a")
        assert deleted.status == 204
    assert get(store, "a").status == 404
    assert state(store)["used"] == 0


def test_wrong_checksum_answers_422_and_keeps_nothing(make_store):
    store = make_store()
    answer = calls.call(
        "PUT", store.address, "/blocks/a", b"one", x_checksum="00"
    )
    assert (answer.status, get(store, "a").status) == (422, 404)


def test_full_store_answers_507_until_there_is_room(make_store):
    store = make_store(capacity=10)
    assert put(store, "a", bytes(6)).status == 200
    assert put(store, "b", bytes(5)).status == 507
    assert put(store, "c", bytes(4)).status == 200
    calls.call("DELETE", store.address, "/blocks/a")
    assert put(store, "b", bytes(5)).status == 200
    assert state(store)["used"] == 9


def test_lists_pages_in_name_order(make_store):
    store = make_store()
    for name in ("c", "a", "b"):
        put(store, name, name.encode())
    first = calls.call("GET", store.address, "/blocks?max=2").json()
    assert [row[0] for row in first["blocks"]] == ["a", "b"]
    assert first["more"]
    last = calls.call("GET", store.address, "/blocks?after=b&max=2").json()
    assert [row[:3] for row in last["blocks"]] == [
        ["c", 1, checksums.checksum_of(b"c")]
    ]
    assert not last["more"]
    assert last["boot_id"] == state(store)["boot_id"]


def test_least_recently_used_blocks_lie_on_disk(make_store):
    store = make_store(capacity=30, memory_bytes=20)
    for name in ("a", "b"):
        put(store, name, bytes(10))
    get(store, "a")
    put(store, "c", bytes(10))
    assert list(store.blocks.disk) == ["b"]
    assert state(store)["tiers"] == {
        "memory": {"used": 20, "capacity": 20},
        "disk": {"used": 10, "capacity": 10},
    }
    get(store, "b")
    assert list(store.blocks.disk) == ["a"]


def test_disk_is_slower_than_memory(make_store):
    store = make_store(memory_bytes=0, disk_bytes_per_s=1_000_000)
    put(store, "a", bytes(100_000))
    begun = time.monotonic()
    get(store, "a")
    assert time.monotonic() - begun >= 0.1


def test_half_write_answers_as_if_whole(make_store):
    """A store says that a block is written and keeps half of it.

    A reader that doesn't check would use a partly written block.
    """
    store = make_store(half_writes=1)
    content = b"0123456789"
    assert put(store, "a", content).json()["bytes"] == 10
    answer = get(store, "a")
    assert answer.data == b"01234"
    assert answer.headers["X-Checksum"] == checksums.checksum_of(content)
    assert put(store, "b", content).status == 200
    assert get(store, "b").data == content


def test_corrupt_read_differs_in_one_byte(make_store):
    store = make_store(corrupt_reads=1)
    content = b"0123456789"
    put(store, "a", content)
    wrong = get(store, "a").data
    different = [a != b for a, b in zip(wrong, content, strict=True)]
    assert sum(different) == 1
    assert get(store, "a").data == content


def test_link_is_shared_by_reads_and_writes(make_store):
    store = make_store(link_bytes_per_s=2_000_000)
    begun = time.monotonic()
    put(store, "a", bytes(100_000))
    get(store, "a")
    assert time.monotonic() - begun >= 0.1


def test_store_that_dies_cuts_a_read_in_the_middle(make_store):
    """A store dies while a block comes over a slow link."""
    store = make_store()
    put(store, "a", bytes(1_000_000))
    store.set(link_bytes_per_s=300_000)
    answer = calls.open_stream(store.address, "/blocks/a")
    received = answer.stream(1024)
    next(received)
    store.stop()
    with pytest.raises(urllib3.exceptions.HTTPError):
        list(received)


def test_write_under_way_shows_only_when_whole(make_store):
    store = make_store(link_bytes_per_s=1)
    content = bytes(100)
    with pytest.raises(urllib3.exceptions.TimeoutError):
        urllib3.request(
            "PUT",
            f"http://{store.address}/blocks/a",
            body=content,
            headers={"X-Checksum": checksums.checksum_of(content)},
            timeout=0.2,
            retries=False,
        )
    assert get(store, "a").status == 404
    waiting.until(lambda: state(store)["used"] == 0)
