from __future__ import annotations

import contextlib
import threading

from briarseam.metrics import registry as registries
from briarseam.metrics import threads


@contextlib.contextmanager
def running(*names):
    """Keep threads with these names running."""
    release = threading.Event()
    running_threads = [
        threading.Thread(target=release.wait, args=(10,), name=name)
        for name in names
    ]
    for thread in running_threads:
        thread.start()
    yield
    release.set()
    for thread in running_threads:
        thread.join()


def test_threads_are_counted_by_purpose():
    names = ("store-10.1.0.2:80", "store-10.1.0.3:80", "stores-by-cph-1")
    with running(*names, "gossip"):
        counts = threads.count_by_purpose()
    assert (counts["store"], counts["stores"], counts["gossip"]) == (2, 1, 1)


def test_purpose_without_threads_any_more_is_set_to_zero():
    registry = registries.Registry()
    gauge = threads.ThreadGauge(registry)
    with running("reader-1"):
        gauge.update()
        assert 'threads{purpose="reader"} 1' in registry.render()
    gauge.update()
    assert 'threads{purpose="reader"} 0' in registry.render()
