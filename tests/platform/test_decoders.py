"""Whatever is written, decoding ends in a result or in ``MalformedError``."""

from __future__ import annotations

import json
import math

import hypothesis
from hypothesis import strategies
import pytest

from briarseam.discovery import registry
from briarseam.feeds import records
from briarseam.forwarding import refusing
from briarseam.platform import answers
from briarseam.platform import cache
from briarseam.platform import configuration
from briarseam.platform import decoding
from briarseam.platform import documents
from briarseam.platform import endpoints
from briarseam.platform import engines
from briarseam.platform import requests
from briarseam.platform import store as stores
from briarseam.routes import following
from tests import clocks

quick = hypothesis.settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
DEPTHS = (10, 1_000, 100_000)

ENTRY = {
    "service": "portal",
    "address": "127.0.0.1:8080",
    "zone": "a",
    "version": "3.1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 7,
    "models": [{"name": "m", "version": 2, "adapters": []}],
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "pathPrefix": "/r/",
            "kind": "stream",
            "timeoutMs": 500,
            "targetLatencyMs": 100.5,
            "priority": 1,
            "trafficSplit": [{"service": "s", "weight": 0.5}],
            "maxAttempts": 2,
            "sticky": True,
        }
    ],
    "services": [
        {
            "name": "s",
            "healthPath": "/",
            "maxConnections": 9,
            "engine": {
                "slots": 4,
                "kvCapacityTokens": 900,
                "kvTokenBytes": 8.5,
                "linkMbps": 10,
                "models": [{"name": "m"}],
            },
        },
        {
            "name": "t",
            "kvStoreAddr": "127.0.0.1:1",
            "zone": "a",
            "kvCapacityTokens": 900,
            "linkMbps": 10,
            "managed": True,
            "first_ms": 2.5,
        },
    ],
    "limits": {"maxHeaderBytes": 9, "idleTimeoutMs": 15000},
    "tenants": [{"name": "o", "apiKeys": ["k"], "priority": 1}],
}
GOAL = {"model": "m", "version": 2}
REPORT = {"models": [{"name": "m", "version": 2}], "busy": False, "seq": 3}
EVENTS = {
    "epoch": 1,
    "next": 3,
    "lost": False,
    "events": [[1, "+", "s", "a", 10, "m"], [2, "-", "s", "b", 0, "m"]],
}
LIST = {"epoch": 1, "next": 3, "held": [["s", "a", 10, "m"]]}
NEWEST = {"items": [{"key": "a", "value": "MQ=="}], "hasMore": False, "end": 1}

scalars = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from(
        [-1, 2**53 + 1, 2**63, 2**64, 10**30, 10**400, -(10**30)]
    )
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.sampled_from(["x" * 100_000, "\ud800", "\0", "\r\n", "é"])
)
values = strategies.recursive(
    scalars,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def places(document, path=()):
    """Yield where something stands in a document."""
    yield path
    if isinstance(document, dict):
        inner = document.items()
    elif isinstance(document, list):
        inner = enumerate(document)
    else:
        return
    for key, value in inner:
        yield from places(value, (*path, key))


def changed(document, path, change):
    """Return a copy with one place changed, or left out."""
    if not path:
        return change(document)
    copy = dict(document) if isinstance(document, dict) else list(document)
    key, *rest = path
    if rest:
        copy[key] = changed(copy[key], rest, change)
        return copy
    try:
        copy[key] = change(copy[key])
    except LookupError:
        del copy[key]
    return copy


def leave_out(_value):
    raise LookupError


def damaged(document):
    """Return a strategy of documents' bytes, a little or wholly wrong."""
    paths = strategies.sampled_from(list(places(document)))
    whole = json.dumps(document).encode()
    replaced = strategies.builds(
        lambda path, value: changed(document, path, lambda _old: value),
        paths,
        values,
    ).map(as_json)
    without = paths.filter(bool).map(
        lambda path: as_json(changed(document, path, leave_out))
    )
    nested = strategies.builds(
        lambda depth, opening: b'{"x":' + opening * depth,
        strategies.sampled_from(DEPTHS),
        strategies.sampled_from([b"[", b'{"x":']),
    )
    cut = strategies.integers(0, len(whole)).map(lambda end: whole[:end])
    spoiled = strategies.builds(
        lambda place, byte: whole[:place] + byte + whole[place + 1 :],
        strategies.integers(0, len(whole) - 1),
        strategies.binary(min_size=1, max_size=2),
    )
    anything = strategies.binary(max_size=50) | values.map(as_json)
    return replaced | without | nested | cut | spoiled | anything


def as_json(value):
    """Return bytes as a careless writer would, with NaN and surrogates."""
    return json.dumps(value, ensure_ascii=False).encode(
        "utf-8", "surrogatepass"
    )


def is_sane(value):
    """Tell whether a decoded number can be summed, sent and waited for."""
    match value:
        case bool():
            return True
        case int() | float():
            return math.isfinite(value) and abs(value) <= decoding.MOST
        case dict():
            return all(map(is_sane, value.values()))
        case list() | tuple():
            return all(map(is_sane, value))
        case _ if hasattr(value, "__dataclass_fields__"):
            return all(
                is_sane(getattr(value, name))
                for name in value.__dataclass_fields__
            )
    return True


def decoded(decode, *arguments):
    """Return a decoder's result, ``None`` where it says malformed."""
    try:
        return decode(*arguments)
    except decoding.MalformedError:
        return None


@pytest.mark.parametrize(
    "decode, document",
    [
        (lambda data: endpoints.decode_endpoint("a", data), ENTRY),
        (configuration.decode_configuration, CONFIGURATION),
        (configuration.decode_weight_goal, GOAL),
    ],
    ids=["endpoint", "configuration", "goal"],
)
def test_documents_decode_as_they_are(decode, document):
    assert is_sane(decode(json.dumps(document).encode()))


@quick
@hypothesis.given(damaged(ENTRY))
def test_any_entry_is_an_endpoint_or_malformed(data):
    found = decoded(endpoints.decode_endpoint, "a", data)
    assert is_sane(found)


@quick
@hypothesis.given(strategies.text(max_size=300))
def test_any_key_of_an_entry_can_stand_in_a_header_or_is_malformed(key):
    data = json.dumps(ENTRY).encode()
    found = decoded(endpoints.decode_endpoint, key, data)
    assert found is None or (key.isascii() and key.isprintable())


@quick
@hypothesis.given(damaged(CONFIGURATION))
def test_any_configuration_is_one_or_malformed(data):
    assert is_sane(decoded(configuration.decode_configuration, data))


@quick
@hypothesis.given(damaged(GOAL))
def test_any_goal_is_one_or_malformed(data):
    assert is_sane(decoded(configuration.decode_weight_goal, data))


@quick
@hypothesis.given(damaged(REPORT))
def test_any_report_is_one_or_malformed(data):
    found = decoded(decoding.decode, data, engines.WireReport)
    if found is not None:
        assert is_sane([found.seq, *(row.version for row in found.models)])


@quick
@hypothesis.given(damaged(ENTRY), strategies.integers(0, 3))
def test_no_good_entry_is_lost_among_bad_ones(data, place):
    """Entries of another writer lie anywhere among those of endpoints."""
    known = registry.EndpointRegistry(
        endpoints.decode_endpoint, lambda ids: None, clocks.ManualClock()
    )
    good = json.dumps(ENTRY).encode()
    changes = [records.KeyedRecord(f"good-{i}", good) for i in range(3)]
    changes.insert(place, records.KeyedRecord("other", data or None))
    known.take_all(changes)
    ids = {found.id for found in known.serving("portal")}
    assert ids - {"other"} == {"good-0", "good-1", "good-2"}


@quick
@hypothesis.given(damaged(CONFIGURATION), damaged(GOAL))
def test_no_good_document_is_lost_among_bad_ones(data, goal):
    """What can't be read lies before newer documents that can."""
    feed = following.OperatorFeed(
        documents.OperatorDocuments(), lambda found: None
    )
    newest = CONFIGURATION | {"version": decoding.MOST}
    feed.take_changes(
        [
            records.KeyedRecord("version/m", goal or None),
            records.KeyedRecord("config", data or None),
            records.KeyedRecord("version/z", b'{"model":"z","version":4}'),
            records.KeyedRecord("config", json.dumps(newest).encode()),
        ]
    )
    assert feed.current().configuration.version == decoding.MOST
    assert feed.goals.newest["z"].version == 4


class Answer:
    """What a call returned."""

    status = 200

    def __init__(self, data):
        self.data = data


class AnsweredStore(stores.StoreClient):
    """A client of the metadata store whose calls are all answered alike."""

    def __init__(self, data):
        super().__init__("127.0.0.1:1")
        self.data = data

    def call(self, method, path, query, **options):
        return Answer(self.data)


class AnsweredPool:
    """A pool whose requests are all answered alike."""

    def __init__(self, data):
        self.data = data

    def request(self, *_arguments, **_options):
        return Answer(self.data)


@quick
@hypothesis.given(damaged(NEWEST))
def test_any_page_of_records_is_read_or_the_store_counts_as_away(data):
    try:
        AnsweredStore(data).newest("keyed.op")
    except records.StoreUnavailableError:
        return


@quick
@hypothesis.given(strategies.binary(max_size=80))
def test_any_body_of_records_is_read_or_the_store_counts_as_away(data):
    try:
        batch = AnsweredStore(data).read_keyed("keyed.op", 3, 0.0)
    except records.StoreUnavailableError:
        return
    assert batch.next == 3 + len(batch.records)


@quick
@hypothesis.given(strategies.lists(strategies.binary(max_size=20)))
def test_any_record_keeps_its_place_and_hides_no_other(items):
    good = stores.encode_keyed("good", b"1")
    framed = b"".join(
        stores.LENGTH.pack(len(item)) + item for item in [*items, good]
    )
    store = AnsweredStore(stores.POSITIONS.pack(0, 0) + framed)
    batch = store.read_keyed("keyed.op", 0, 0.0)
    assert batch.next == len(items) + 1
    assert batch.records[-1] == records.KeyedRecord("good", b"1")


def unavailable_or(call, data):
    """Return what a store's answer says, ``None`` if it says nothing."""
    client = cache.CacheStoreClient()
    client.pool = AnsweredPool(data)
    try:
        return call(client)
    except cache.store_watch.StoreUnavailableError:
        return None


@quick
@hypothesis.given(damaged(EVENTS))
def test_any_changes_of_a_store_are_read_or_it_counts_as_away(data):
    found = unavailable_or(
        lambda client: client.changes("127.0.0.1:1", 0, 0.0), data
    )
    assert is_sane(found)


@quick
@hypothesis.given(damaged(LIST))
def test_any_list_of_a_store_is_read_or_it_counts_as_away(data):
    found = unavailable_or(lambda client: client.content("127.0.0.1:1"), data)
    assert is_sane(found)


@quick
@hypothesis.given(values, strategies.integers(0, 2))
def test_no_good_row_is_lost_among_bad_ones(row, place):
    rows = list(EVENTS["events"])
    rows.insert(place, row)
    data = json.dumps({"epoch": 1, "next": 4, "events": rows}).encode()
    if "NaN" in data.decode() or "Infinity" in data.decode():
        # No JSON, so nothing can be told apart in it.
        return
    if "\\ud8" in data.decode():
        return
    found = unavailable_or(
        lambda client: client.changes("127.0.0.1:1", 0, 0.0), data
    )
    assert {event.part for event in found.events} >= {"a", "b"}


ODD_NUMBERS = ["nan", "inf", "-1", "1e400", "1e308", "²", "1_0", " 7 "]
HUGE_NUMBERS = ["9" * 30, "9" * 5000]
numbers = strategies.sampled_from([*ODD_NUMBERS, *HUGE_NUMBERS, "5"]) | (
    strategies.text(max_size=10)
)
# Mostly whole numbers, so that many prompts are decoded to their end.
counts = strategies.sampled_from(["5", "7", " 7 ", "-1", "²", *HUGE_NUMBERS])
callers_headers = strategies.fixed_dictionaries(
    {
        "Model": strategies.text(max_size=5),
        "Token-Usage": strategies.builds("{0},{1}".format, counts, counts),
        "Prefix-Hash": strategies.builds("a:5,b:{0}".format, counts),
        "Deadline-Ms": numbers,
    },
    optional={
        "Request-Id": numbers,
        "Authorization": numbers,
        "Last-Event-Id": numbers,
    },
)
endpoints_headers = strategies.fixed_dictionaries(
    {"Weight-Versions": numbers, "Retry-After": numbers}
)


@quick
@hypothesis.given(callers_headers)
def test_any_headers_of_a_caller_are_a_call_or_refused(headers):
    try:
        call = requests.decode_call("GET", "/x", list(headers.items()))
    except refusing.MalformedCallError:
        return
    assert is_sane([call.time_left_s, call.prompt])


@quick
@hypothesis.given(endpoints_headers)
def test_any_headers_of_an_endpoint_are_an_answer(headers):
    head = requests.decode_answer(200, list(headers.items()))
    assert is_sane([head.retry_after_s, head.version])


@quick
@hypothesis.given(
    strategies.text(max_size=30)
    | strategies.sampled_from(["//[", "http://[", "/briarseam/resolve?[=["])
)
def test_any_target_is_a_lookup_or_none(target):
    answers.decode_lookup(target)
    answers.decode_lookup(f"/briarseam/resolve?{target}")
    answers.is_readiness(target)
