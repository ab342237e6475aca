"""Stores whose odd answers come at once, whatever wait is asked for."""

from __future__ import annotations

import struct
import threading
import time

import pytest

from briarseam.feeds import following
from briarseam.feeds import record_cache
from briarseam.feeds import topic_reader
from briarseam.platform import store as stores
from tests.platform import test_odd_store_answers as odd


def odd_answer(kind, url):
    """Return an answer to any call, all of one kind."""
    if "log-newest" in url:
        end = -1 if kind == "negative end" else 7
        return odd.Answer(odd.page(odd.item("a"), end=end))
    if kind == "always expired":
        return odd.Answer(status=410)
    if kind == "another era":
        return odd.Answer(struct.pack(">QQ", 7, 0), era="0")
    return odd.Answer(struct.pack(">QQ", odd.MAX_POSITION, 0))


@pytest.mark.parametrize(
    "kind", ["always expired", "another era", "negative end", "never waits"]
)
@pytest.mark.parametrize("reads_for_cell", [False, True])
def test_odd_store_is_not_read_in_a_busy_loop(kind, reads_for_cell):
    """Guards against thousands of calls a second to a store that is odd."""
    store = stores.StoreClient("127.0.0.1:1")
    store.pool = odd.Pool(None)
    calls = []

    def answer(method, url, **_options):
        calls.append(url)
        return odd_answer(kind, url)

    store.pool.urlopen = answer
    if reads_for_cell:
        cache = record_cache.RecordCache(time.monotonic)
        reader = topic_reader.TopicReader(
            store, odd.TOPIC, cache, topic_reader.OutageGate()
        )
    else:
        reader = following.Follower(store, odd.TOPIC, odd.Listener(), 0.5)
    reader.start()
    threading.Event().wait(0.5)
    reader.stop()
    assert 1 <= len(calls) <= 40
