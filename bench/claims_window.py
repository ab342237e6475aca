"""What a key costs its stream's owner: memory, folding, reading a window.

PYTHONPATH=src python bench/claims_window.py OUT.json
"""

from __future__ import annotations

import json
import pathlib
import resource
import sys
import time

from briarseam.backing import log as platform_log
from briarseam.claims import fold as folds
from briarseam.claims import keys
from briarseam.claims import options
from briarseam.claims import records
from briarseam.claims import service
from briarseam.metrics import registry
from briarseam.testing import log_service

KEYS = 200_000
PER_BATCH = 20
READ_KEYS = 100_000
KIB = 1024


def batches(count: int) -> list[bytes]:
    """Return the records of so many keys, claimed and done."""
    now_ms = time.time_ns() // 1_000_000
    outcome = records.Outcome(201, b"x" * 100)
    made: list[bytes] = []
    for first in range(0, count, PER_BATCH):
        items: list[records.Item] = []
        for number in range(first, first + PER_BATCH):
            key = keys.make(now_ms)
            attempt = f"{number:032x}"
            items.append(
                records.Claim(
                    "organisation-1",
                    key,
                    attempt,
                    b"x" * 16,
                    "instance-1",
                    "123456789",
                    "127.0.0.1:7001",
                )
            )
            items.append(records.Done("organisation-1", key, attempt, outcome))
        made.append(
            records.encode(
                records.Batch(
                    records.VERSION,
                    options.SHARDS,
                    "bench",
                    first,
                    tuple(items),
                )
            )
        )
    return made


def rss_bytes() -> int:
    """Return the most memory this process has had."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB


def fold_keys() -> dict[str, float]:
    """Fold keys and return their cost."""
    made = batches(KEYS)
    fold = folds.Fold(keys.Window(3_600_000))
    fold.advance(time.time_ns() // 1_000_000)
    before = rss_bytes()
    started = time.process_time()
    for data in made:
        for item in records.decode(data).items:
            if isinstance(item, records.Claim):
                fold.claim(item)
            else:
                fold.settle(item)
    took_s = time.process_time() - started
    return {
        "keys": KEYS,
        "bytes_per_key": round((rss_bytes() - before) / KEYS),
        "record_bytes_per_key": round(sum(map(len, made)) / KEYS),
        "cpu_us_per_key": round(took_s / KEYS * 1e6, 2),
    }


def read_window() -> dict[str, float]:
    """Let a fresh owner read a window over HTTP; return how long it took."""
    with log_service.LogService() as log:
        client = platform_log.LogClient(log.address)
        made = batches(READ_KEYS)
        for data in made:
            client.append(options.stream_name(0), data)
        claims = service.Claims(
            platform_log.LogClient(log.address),
            options.Holder("bench", "1", "127.0.0.1:1"),
            options.Peers(lambda number: None, no_client),
            options.Options(),
            registry.Registry(),
        )
        started = time.monotonic()
        shard = claims.followed.shard(0)
        while shard.readiness_refusal() is not None:
            time.sleep(0.005)
        took_s = time.monotonic() - started
        claims.stop()
    return {
        "keys": READ_KEYS,
        "records": len(made),
        "seconds": round(took_s, 3),
        "keys_per_s": round(READ_KEYS / took_s),
    }


def no_client(address: str) -> options.PeerClient:
    """Never called: the bench has no peers."""
    raise AssertionError(address)


def main(out: str) -> None:
    """Measure and write the results."""
    report = {"fold": fold_keys(), "window": read_window()}
    print(report)
    pathlib.Path(out).write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1])
