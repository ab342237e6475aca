"""All clients that read answers of outside systems, and a call of each."""

from __future__ import annotations

import json
import struct

import msgpack

from briarseam.backing import instances
from briarseam.backing import log
from briarseam.command import http
from briarseam.configuration import following
from briarseam.endpoints import engine
from briarseam.endpoints import engine_events
from briarseam.endpoints import engine_kv
from briarseam.endpoints import engine_load
from briarseam.endpoints import engine_orders
from briarseam.endpoints import engine_start
from briarseam.endpoints import service
from briarseam.endpoints import store
from briarseam.feeds import records
from briarseam.placement import store_watch
from briarseam.platform import cache
from briarseam.platform import engines
from briarseam.platform import store as platform_store
from briarseam.weights import orders

RUN = engine.RunRequest("r", "m", "1", None, "p", (), 1, 0, "north")


def calls():
    """Return a call of each client, its error, and its timeout."""
    order = orders.VersionOrder("m", 2, orders.Mode.FINISH, "one", 1, 0)
    store_client = platform_store.StoreClient
    unavailable = records.StoreUnavailableError
    watch_error = store_watch.StoreUnavailableError
    return {
        "store-newest": (
            lambda at: store_client(at).newest("keyed.op"),
            unavailable,
            platform_store.CALL_TIMEOUT_S,
        ),
        "store-read": (
            lambda at: store_client(at).read_keyed("keyed.op", 0, 0.1),
            unavailable,
            platform_store.POLL_SLACK_S + 0.1,
        ),
        "store-append": (
            lambda at: store_client(at).put("keyed.x", "a", b"1"),
            unavailable,
            platform_store.CALL_TIMEOUT_S,
        ),
        "report": (
            lambda at: engines.EngineClient().report(at, "e"),
            orders.EngineUnavailableError,
            engines.CALL_TIMEOUT_S,
        ),
        "order": (
            lambda at: fail_if_lost(
                engines.EngineClient().order(at, "e", order)
            ),
            LostError,
            engines.CALL_TIMEOUT_S,
        ),
        "cache-list": (
            lambda at: cache.CacheStoreClient().content(at),
            watch_error,
            cache.LIST_TIMEOUT_S,
        ),
        "cache-events": (
            lambda at: cache.CacheStoreClient().changes(at, 1, 0.1),
            watch_error,
            cache.RESPONSE_SLACK_S + 0.1,
        ),
        "cache-free": (
            lambda at: cache.CacheStoreClient().free(
                at, 1, [("s", "p")], 1e12
            ),
            watch_error,
            cache.RESPONSE_SLACK_S,
        ),
        "log-read": (
            lambda at: log.LogClient(at).read("s", 0),
            log.LogUnavailableError,
            log.READ_SLACK_S,
        ),
        "log-append": (
            lambda at: fail_if_lost(log.LogClient(at, 0.5).append("s", b"x")),
            LostError,
            0.5,
        ),
        "instances": (
            lambda at: instances.InstanceList(at, 0.5).read(),
            instances.InstanceListUnavailableError,
            0.5,
        ),
        "engine-events": (
            lambda at: engine_events.EventClient().events(at, 0),
            engine_events.EventsUnavailableError,
            engine_events.CALL_TIMEOUT_S,
        ),
        "engine-load": (
            lambda at: engine_load.LoadClient().read(at),
            engine_load.LoadUnavailableError,
            engine_load.READ_TIMEOUT_S,
        ),
        "engine-state": (
            lambda at: engine_orders.OrderClient(0.5).state(at),
            engine_orders.StateUnavailableError,
            0.5,
        ),
        "engine-export": (
            lambda at: engine_kv.KvClient().post(f"http://{at}/", b"", 0.5),
            engine_kv.KvUnavailableError,
            0.5,
        ),
        "engine-run": (
            lambda at: list(engine.EngineClient(0.3).start(at, RUN, 0.5)),
            engine.LostError,
            0.5,
        ),
        "engine-start": (
            lambda at: fail_if_lost(engine_start.query_boot_id(at)),
            (LostError, engine_start.ClosedError),
            engine_start.TIMEOUT_S,
        ),
        "service": (
            lambda at: service.ServiceClient().call(at, "x", "r", b"{}", 0.5),
            engine.LostError,
            0.5,
        ),
        "block-store": (
            lambda at: store.StoreClient(0.5).state(at),
            store.StoreUnavailableError,
            0.5,
        ),
        "entry": (
            lambda at: http.Asker(at, "t", 0.5).get("/", dict),
            http.AskError,
            0.5,
        ),
        "entry-status": (
            lambda at: following.PropagationTracker(
                (), None, "t"
            ).fetch_status(at),
            following.StatusUnavailableError,
            following.REQUEST_TIMEOUT_S,
        ),
    }


class LostError(Exception):
    """A call whose outcome says that it may have been executed."""


def fail_if_lost(outcome):
    """Raise for outcomes that are returned and not raised."""
    lost = (orders.Lost, log.AppendUnknown)
    if isinstance(outcome, lost) or outcome == "":
        raise LostError


# A body that each call takes for an answer.
BODIES = {
    "store-newest": b'{"items":[],"hasMore":false,"end":0}',
    "store-read": struct.pack(">QQ", 0, 0),
    "store-append": b'{"offset":0,"end":1}',
    "report": b'{"models":[],"busy":false,"seq":1}',
    "order": b"{}",
    "cache-list": b'{"epoch":1,"next":1,"held":[]}',
    "cache-events": b'{"epoch":1,"next":1,"lost":false,"events":[]}',
    "cache-free": b"{}",
    "log-read": msgpack.packb({"first": 0, "next": 0, "records": []}),
    "log-append": b'{"offset":1}',
    "instances": b'{"instances":[]}',
    "engine-events": b'{"boot_id":"b","next":0,"events":[]}',
    "engine-load": json.dumps(
        {
            "time_ms": 1,
            "boot_id": "b",
            "running": 0,
            "queued": 0,
            "slots": 1,
            "prefill_tokens_queued": 0,
            "cached_tokens": 0,
            "cache_capacity_tokens": 1,
        }
    ).encode(),
    "engine-state": b'{"boot_id":"b","models":{},"fence":0}',
    "engine-export": b"{}",
    "engine-run": b'event: done\ndata: {"run_id":"r","tokens":0}\n\n',
    "engine-start": b'{"boot_id":"b"}',
    "service": b"{}",
    "block-store": b'{"boot_id":"b","used":0,"capacity":1}',
    "entry": b"{}",
    "entry-status": b'{"agents":[]}',
}
# Takes no answer whose end only the end of its connection marks.
NEEDS_FRAMING = frozenset({"service"})
