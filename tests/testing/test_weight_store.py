from __future__ import annotations

import threading
import time

import pytest

from briarseam.testing import waiting
from briarseam.testing import weight_store
from tests.testing import calls


@pytest.fixture
def weights(running):
    return running(weight_store.WeightStore())


def get(weights, part):
    path = f"/weights/m/v1?part={part}"
    return calls.call("GET", weights.address, path)


def test_gives_parts(weights):
    weights.set(parts=2, part_bytes=10)
    first, second = get(weights, 0), get(weights, 1)
    assert first.headers["X-Parts"] == "2"
    assert len(first.data) == 10
    assert first.data != second.data
    assert get(weights, 2).status == 404
    assert get(weights, -1).status == 404


def test_rate_is_shared(weights):
    weights.set(bytes_per_s=2_000_000, part_bytes=100_000)
    begun = time.monotonic()
    readers = [
        threading.Thread(target=get, args=(weights, 0)) for _ in range(2)
    ]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()
    assert time.monotonic() - begun >= 0.1


def test_too_many_transfers_answer_429(weights):
    weights.set(bytes_per_s=100_000, part_bytes=100_000, max_concurrent=1)
    reader = threading.Thread(target=get, args=(weights, 0))
    reader.start()
    waiting.until(lambda: weights.running == 1)
    refused = get(weights, 0)
    assert (refused.status, refused.headers["Retry-After"]) == (429, "1")
    reader.join()
    weights.set(bytes_per_s=0)
    assert get(weights, 0).status == 200
