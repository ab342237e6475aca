"""Malformed rows in the lists and events of cache stores."""

from __future__ import annotations

import threading

import msgspec
import pytest

from briarseam import malformed
from briarseam.placement import kept
from briarseam.placement import store_index
from briarseam.placement import store_watch
from briarseam.platform import cache
from briarseam.routes import model as routes
from tests.platform import cache_store

BAD_ROWS = [
    pytest.param(7, id="not a row"),
    pytest.param([], id="empty"),
    pytest.param({"part": "a"}, id="an object"),
    pytest.param([1, "?", "s", "a", 5, "m"], id="unknown sign"),
    pytest.param([1, "+", None, "a", 5, "m"], id="salt null"),
    pytest.param([1, "+", "s", "a", "5", "m"], id="tokens as text"),
    pytest.param([1, "+", "s", "a", -5, "m"], id="tokens below zero"),
    pytest.param([1, "+", "s", "a", 10**30, "m"], id="tokens beyond 64 bits"),
]


class Answer:
    """Response of a store."""

    status = 200

    def __init__(self, document):
        self.data = msgspec.json.encode(document)


class EncodedAnswer:
    """Response of a store whose body is given."""

    status = 200

    def __init__(self, data):
        self.data = data


@pytest.fixture
def client(monkeypatch):
    made = cache.CacheStoreClient()
    made.answers = []
    monkeypatch.setattr(
        made.pool, "request", lambda *_args, **_rest: made.answers.pop(0)
    )
    return made


@pytest.mark.parametrize("bad", BAD_ROWS)
def test_malformed_change_does_not_hide_the_others(client, bad):
    """Guards against treating a store with one malformed row as unavailable.

    Its whole content would be discarded at each read, and engines would
    process all prompts again.
    """
    good = [2, "+", "s", "b", 100, "m"]
    client.answers = [
        Answer({"epoch": 1, "next": 3, "events": [bad, good]}),
    ]
    changes = client.changes("127.0.0.1:1", 1, 0.0)
    assert changes.events == (store_index.PartEvent("s", "b", 100),)
    assert changes.next == 3


@pytest.mark.parametrize(
    "bad",
    [
        pytest.param([], id="empty"),
        pytest.param(["s", "a"], id="too short"),
        pytest.param(["s", 7, 5, "m"], id="part is a number"),
        pytest.param(["s", "a", -5, "m"], id="tokens below zero"),
    ],
)
def test_malformed_part_does_not_hide_the_others(client, bad):
    client.answers = [
        Answer({"epoch": 1, "next": 3, "held": [bad, ["s", "b", 100, "m"]]})
    ]
    content = client.content("127.0.0.1:1")
    assert content.parts == (store_index.PartEvent("s", "b", 100),)


def test_row_with_an_extra_value_is_accepted(client):
    client.answers = [
        Answer({"epoch": 1, "next": 3, "held": [["s", "b", 100, "m", "x"]]})
    ]
    content = client.content("127.0.0.1:1")
    assert content.parts == (store_index.PartEvent("s", "b", 100),)


def test_answer_nested_too_deeply_is_an_error(client):
    """Guards against an error that ends the thread following the store."""
    answer = Answer({})
    answer.data = b'{"epoch":1,"next":1,"x":' + b"[" * 100_000
    client.answers = [answer]
    with pytest.raises(store_watch.StoreUnavailableError):
        client.content("127.0.0.1:1")


@pytest.fixture
def store():
    with cache_store.CacheStore(1) as made:
        made.put("m/1/", "a", 100)
        yield made


FREED = [("m/1/", "a")]


def test_parts_are_freed(store):
    until_ms = cache_store.clock_ms() + 1000
    cache.CacheStoreClient().free(store.address, 1, FREED, until_ms)
    assert store.freed == FREED


def test_call_that_arrives_late_frees_nothing(store):
    """Guards against parts that have been saved again meanwhile."""
    until_ms = cache_store.clock_ms() - 1
    with pytest.raises(store_watch.StoreUnavailableError, match="409"):
        cache.CacheStoreClient().free(store.address, 1, FREED, until_ms)
    assert store.freed == []


def test_clock_of_a_store_is_read_from_its_list_and_events(store):
    client = cache.CacheStoreClient()
    before_ms = cache_store.clock_ms()
    content = client.content(store.address)
    changes = client.changes(store.address, content.next, 0.0)
    after_ms = cache_store.clock_ms()
    assert before_ms <= content.clock_ms <= changes.clock_ms <= after_ms


ODD_CLOCKS = [
    pytest.param(b'"now"', id="text"),
    pytest.param(b"-1", id="negative"),
    pytest.param(b"null", id="null"),
    pytest.param(b"true", id="boolean"),
    pytest.param(b"[[[1]]]", id="list"),
    pytest.param(b'{"ms":1}', id="object"),
    pytest.param(b"1e13", id="beyond the year 2286"),
    pytest.param(b"1e300", id="far ahead"),
    pytest.param(b"1e400", id="infinite"),
    pytest.param(b"9" * 6000, id="6000 digits"),
]


@pytest.mark.parametrize("shown", ODD_CLOCKS)
def test_odd_clock_of_a_store_is_unknown_and_its_parts_hold(client, shown):
    """Guards against dropping all parts of a store for a field that is odd."""
    noted = []
    client.tally = malformed.Tally(noted.append)
    listed = b'{"epoch":1,"next":3,"held":[["s","b",100,"m"]],"clock_ms":%s}'
    changed = (
        b'{"epoch":1,"next":4,"events":[[3,"+","s","c",7,"m"]],"clock_ms":%s}'
    )
    client.answers = [
        EncodedAnswer(listed % shown),
        EncodedAnswer(changed % shown),
    ]
    content = client.content("127.0.0.1:1")
    assert content.parts == (store_index.PartEvent("s", "b", 100),)
    assert content.clock_ms == store_index.UNKNOWN_CLOCK_MS
    changes = client.changes("127.0.0.1:1", 3, 0.0)
    assert changes.events == (store_index.PartEvent("s", "c", 7),)
    assert changes.clock_ms == store_index.UNKNOWN_CLOCK_MS
    assert noted == [malformed.Kind.CACHE_ROW] * 2


def test_store_without_a_clock_is_sound(client):
    noted = []
    client.tally = malformed.Tally(noted.append)
    client.answers = [Answer({"epoch": 1, "next": 3})]
    content = client.content("127.0.0.1:1")
    assert content.clock_ms == store_index.UNKNOWN_CLOCK_MS
    assert not noted


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param(b'"epoch":-1,"next":3', id="epoch negative"),
        pytest.param(b'"epoch":1e300,"next":3', id="epoch too large"),
        pytest.param(
            b'"epoch":1,"next":9007199254740993', id="next too large"
        ),
        pytest.param(b'"epoch":1,"next":%s' % (b"9" * 6000), id="digits"),
        pytest.param(b'"epoch":1,"next":3,"clock_ms":NaN', id="NaN"),
        pytest.param(b'"epoch":1,"next":3,"born":"x"', id="born as text"),
        pytest.param(
            b'"epoch":1,"next":3,"clock_ms":' + b"[" * 10**6, id="nested"
        ),
    ],
)
def test_odd_answer_of_a_store_is_an_error(client, fields):
    """Guards against an error that ends the thread following the store."""
    client.answers = [EncodedAnswer(b"{" + fields + b"}")] * 2
    with pytest.raises(store_watch.StoreUnavailableError):
        client.content("127.0.0.1:1")
    with pytest.raises(store_watch.StoreUnavailableError):
        client.changes("127.0.0.1:1", 3, 0.0)


@pytest.mark.parametrize("odd", [2**53, 1_700_000_000_000_000])
def test_start_far_in_the_future_does_not_hide_later_answers(client, odd):
    """Guards against a store that is never read again after one odd answer."""
    client.answers = [
        Answer({"epoch": 1, "next": 3, "born": odd}),
        Answer(
            {"epoch": 1, "next": 3, "born": 7, "held": [["s", "b", 1, "m"]]}
        ),
        Answer({"epoch": 1, "next": 4, "born": 7}),
    ]
    index = kept.KeptIndex()
    index.set_stores([routes.StoreTraits("s1", "a", 1000, 10.0, 0.0, False)])
    index.apply_content("s1", client.content("s1"))
    index.apply_content("s1", client.content("s1"))
    assert index.stores["s1"].held == {("s", "b"): 1}
    assert index.apply_changes("s1", client.changes("s1", 3, 0.0))


def test_numbers_that_go_back_name_another_start(client):
    """The epoch of a store goes back, and the number to go on from."""
    client.answers = [
        Answer({"epoch": 2**53, "next": 2**53, "held": [["s", "b", 1, "m"]]}),
        Answer({"epoch": 1, "next": 0}),
        Answer({"epoch": 1, "next": 0, "held": [["s", "c", 1, "m"]]}),
    ]
    index = kept.KeptIndex()
    index.set_stores([routes.StoreTraits("s1", "a", 1000, 10.0, 0.0, False)])
    index.apply_content("s1", client.content("s1"))
    assert not index.apply_changes("s1", client.changes("s1", 2**53, 0.0))
    assert not index.stores["s1"].held
    index.apply_content("s1", client.content("s1"))
    assert index.stores["s1"].held == {("s", "c"): 1}


def test_connections_of_a_poll_and_a_free_are_both_kept(store, caplog):
    """Guards against a connection that is opened anew for each call."""
    client = cache.CacheStoreClient()
    polls = [
        threading.Thread(
            target=client.changes, args=(store.address, 1, 0.2), daemon=True
        )
        for _ in range(2)
    ]
    for poll in polls:
        poll.start()
    for poll in polls:
        poll.join()
    assert "Connection pool is full" not in caplog.text
