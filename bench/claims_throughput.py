"""Appends a second against claims a second, and the latency claims add.

Weighs three ways to keep claims on one log that takes a bounded number of
appends a second: one append per claim, batched claims by shard, and claims
that a peer holds in memory (no log; what they would save).  All run against
the same stand-in log in the same process, one after the other.

    PYTHONPATH=src python bench/claims_throughput.py OUT.json
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import secrets
import sys
import threading
import time

from briarseam.backing import log as platform_log
from briarseam.claims import keys
from briarseam.claims import messages
from briarseam.claims import options
from briarseam.claims import service
from briarseam.claims import shard as shard_module
from briarseam.metrics import registry
from briarseam.testing import log_service
from briarseam.wire import client as wire_client
from briarseam.wire import codec
from briarseam.wire import connection as connections
from briarseam.wire import server as wire_server

APPENDS_PER_S = 300
LOG_DELAY_MS = 2
RUN_S = 5.0
CALLERS = (1, 16, 64, 256)
KEY = b"bench"


@dataclasses.dataclass(frozen=True)
class Row:
    """One way under one load."""

    way: str
    callers: int
    claims_per_s: float
    refused_per_s: float
    appends_per_s: float
    p50_ms: float
    p95_ms: float
    p99_ms: float


@codec.message("bench-held")
@dataclasses.dataclass(frozen=True)
class HeldClaim:
    """A claim that a peer would hold in memory."""

    key: str
    attempt: str


@codec.message("bench-held-won")
@dataclasses.dataclass(frozen=True)
class HeldWon:
    """Whether it won."""

    won: bool


class LogWay:
    """Claims on the log.

    Parameters
    ----------
    name
        Name of the way.
    log
        The log's address.
    given
        How claims work.
    """

    def __init__(self, name: str, log: str, given: options.Options) -> None:
        self.name = name
        self.claims = service.Claims(
            platform_log.LogClient(log),
            options.Holder("bench", secrets.token_hex(4), "127.0.0.1:1"),
            options.Peers(lambda number: None, no_client),
            given,
            registry.Registry(),
        )
        self.claims.start()
        while not self.ready():
            time.sleep(0.01)

    def ready(self) -> bool:
        """Tell whether all shards are read."""
        followed = self.claims.followed.all()
        return len(followed) == self.claims.options.shards and all(
            shard.readiness_refusal() is None for shard in followed
        )

    def claim(self) -> bool:
        """Claim a fresh key; tell whether it was won."""
        key = keys.make(time.time_ns() // 1_000_000)
        attempt = self.claims.new_attempt()
        result = self.claims.claim("bench", key, b"x", attempt)
        return isinstance(result, messages.Won)

    def appends(self) -> int:
        """Return the appends so far."""
        return self.claims.followed.count_appends()

    def stop(self) -> None:
        """Stop."""
        self.claims.stop()


class ClaimPerRequest(LogWay):
    """One append for each claim, sent by the request's own thread."""

    def __init__(self, name: str, log: str, given: options.Options) -> None:
        super().__init__(name, log, given)
        self.alone = [Alone(shard) for shard in self.claims.followed.all()]

    def appends(self) -> int:
        """Return the appends so far."""
        return sum(one.appends for one in self.alone)


class Alone:
    """Takes a writer's place: appends at once, in the caller's thread."""

    def __init__(self, shard: shard_module.Shard) -> None:
        self.shard = shard
        self.writer = shard.writer
        self.appends = 0
        self.lock = threading.Lock()
        shard.writer = self  # type: ignore[assignment]

    def submit(self, items: list[service.records.Item]) -> None:
        """Append one record for the items."""
        stream = self.shard.stream
        with self.lock:
            self.appends += 1
            number = self.appends
        batch = service.records.Batch(
            service.records.VERSION,
            stream.shards,
            "bench",
            number,
            tuple(items),
        )
        outcome = stream.log.append(stream.name, service.records.encode(batch))
        if not isinstance(outcome, platform_log.Appended):
            failure = service.writers.Failure("refused", 1.0, False)
            self.shard.fail(items, failure)

    def stop(self) -> None:
        """Stop the writer whose place this took."""
        self.writer.stop()


class PeerWay:
    """Claims held by a peer in memory, without the log."""

    name = "held by a peer"

    def __init__(self) -> None:
        self.held: dict[str, str] = {}
        self.lock = threading.Lock()
        me = connections.Identity("agent", "bench")
        router = wire_server.Router()
        router.on(HeldClaim, self.on_claim)
        self.server = wire_server.Server("127.0.0.1:0", me, KEY, router)
        self.server.start()
        self.client = wire_client.Client(self.server.address, me, KEY, 512)

    def on_claim(
        self, peer: connections.Identity, request: HeldClaim
    ) -> HeldWon:
        """Take a claim in."""
        del peer
        with self.lock:
            owner = self.held.setdefault(request.key, request.attempt)
        return HeldWon(owner == request.attempt)

    def claim(self) -> bool:
        """Claim a fresh key."""
        key = keys.make(time.time_ns() // 1_000_000)
        attempt = secrets.token_hex(16)
        try:
            reply = self.client.call(HeldClaim(key, attempt), 2.0)
        except connections.WireError:
            return False
        return bool(reply.won)

    def appends(self) -> int:
        """Return the appends so far: none."""
        return 0

    def stop(self) -> None:
        """Stop."""
        self.server.stop()
        self.client.close()


def no_client(address: str) -> wire_client.Client:
    """Never called: the bench has no peers."""
    raise AssertionError(address)


def load(way: LogWay | PeerWay, callers: int) -> Row:
    """Let callers claim one fresh key after the other."""
    took: list[float] = []
    refused = [0]
    lock = threading.Lock()
    before = way.appends()
    started = time.monotonic()
    until = started + RUN_S

    def run() -> None:
        mine: list[float] = []
        lost = 0
        while time.monotonic() < until:
            begun = time.perf_counter()
            if way.claim():
                mine.append(time.perf_counter() - begun)
            else:
                lost += 1
        with lock:
            took.extend(mine)
            refused[0] += lost

    threads = [threading.Thread(target=run) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed = time.monotonic() - started
    took.sort()
    return Row(
        way.name,
        callers,
        round(len(took) / elapsed, 1),
        round(refused[0] / elapsed, 1),
        round((way.appends() - before) / elapsed, 1),
        *(round(quantile(took, q) * 1000, 2) for q in (0.5, 0.95, 0.99)),
    )


def quantile(values: list[float], q: float) -> float:
    """Return a quantile of sorted values."""
    if not values:
        return float("nan")
    return values[min(len(values) - 1, int(q * len(values)))]


def bench() -> list[Row]:
    """Run every way under every load."""
    rows: list[Row] = []
    switches = log_service.Switches(
        appends_per_s=APPENDS_PER_S, delay_ms=LOG_DELAY_MS
    )
    for callers in CALLERS:
        with log_service.LogService(switches) as log:
            ways = (
                ClaimPerRequest("claim per request", log.address, alone()),
                LogWay("batched, 20 ms", log.address, batched(20.0)),
                LogWay("batched, 5 ms", log.address, batched(5.0)),
                PeerWay(),
            )
            for way in ways:
                rows.append(load(way, callers))
                print(rows[-1], flush=True)
                way.stop()
    return rows


def alone() -> options.Options:
    """Return options for one append per claim."""
    return options.Options(batch_ms=0.0, shards=options.SHARDS)


def batched(batch_ms: float) -> options.Options:
    """Return options for group commit."""
    return options.Options(batch_ms=batch_ms, shards=options.SHARDS)


def main(out: str) -> None:
    """Run and write the results."""
    report = {
        "log": {"appends_per_s": APPENDS_PER_S, "delay_ms": LOG_DELAY_MS},
        "run_s": RUN_S,
        "shards": options.SHARDS,
        "rows": [dataclasses.asdict(row) for row in bench()],
    }
    pathlib.Path(out).write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1])
