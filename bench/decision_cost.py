"""What a decision costs at the agent, as its state grows.

One agent's routing, admission and kept cache, composed as in the daemon,
decide about prompts of returning sessions.  One size grows at a time.  The
network is left out but for the last rows, which ask over the wire.

    PYTHONPATH=src python bench/decision_cost.py [OUT.json]
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
import os
import pathlib
import random
import sys
import time
import typing

import xxhash

from briarseam import settings as settings_module
from briarseam import tokens
from briarseam.admission import messages
from briarseam.cache import service as kept_cache
from briarseam.cache import state as cache
from briarseam.compose import serving
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.membership import state as members
from briarseam.orders import state as orders
from briarseam.routing import loads
from briarseam.wire import client as wire_client
from briarseam.wire import connection
from briarseam.wire import server as wire_server

RESULT = pathlib.Path("bench/results/decision-cost.json")
KEY = b"decision-cost-key-of-this-bench"
MODEL = "draft"
VERSION = "v1"
BLOCK_BYTES = 64_000
WARM = 300
ASKS = 3000
US = 1e6


@dataclasses.dataclass(frozen=True)
class Size:
    """How large everything is."""

    engines: int = 24
    sessions: int = 10_000
    organisations: int = 960
    pieces: int = 6


@dataclasses.dataclass(frozen=True)
class Row:
    """One size's cost in microseconds, of processor or over the wire.

    ``yardstick`` is the processor time of ranking 920 names by a hash of
    each, measured next to it: how fast this machine was just then.
    """

    varied: str
    size: Size
    kept_blocks: int
    admit_p50: float
    admit_p95: float
    end_p50: float
    end_p95: float
    yardstick: float


class Members:
    """A cell of one."""

    local_member = members.LocalAgent("me", "a", "127.0.0.1:1")

    def live(self) -> tuple[typing.Any, ...]:
        """Return the live members."""
        return ()

    def members(self) -> tuple[str, ...]:
        """Return all members."""
        return ("me",)

    def add_section(self, *args: typing.Any) -> None:
        """Leave heartbeats out."""


class Offers:
    """Every engine serves the one version."""

    offer = orders.Offer(VERSION, "")

    def offers(self, model: str, session: str) -> tuple[orders.Offer, ...]:
        """Return what requests may name."""
        del model, session
        return (self.offer,)

    def serves(self, endpoint: str, model: str, offer: orders.Offer) -> bool:
        """Tell whether an engine serves."""
        del endpoint, model
        return offer == self.offer


class Imports:
    """The kept cache, without moving bytes."""

    def __init__(self, kept: kept_cache.KeptCache) -> None:
        self.plan = kept.plan
        self.engine_salt = kept.engine_salt

    def import_to(
        self, address: str, plan: cache.Plan, max_s: float
    ) -> cache.Imported:
        """Say that all came."""
        del address, max_s
        return cache.Imported(pieces=len(plan.blocks))


def view_of(size: Size) -> schema.View:
    """Return a configuration of a size."""
    endpoints = {
        f"engine-{number}": values.Endpoint(
            kind=values.EndpointKind.ENGINE,
            address=f"127.0.0.1:{number + 1}",
            zone="a",
            models=(MODEL,),
        )
        for number in range(size.engines)
    }
    for number in range(2):
        endpoints[f"store-{number}"] = values.Endpoint(
            kind=values.EndpointKind.STORE,
            address=f"127.0.0.1:{number + 5000}",
            zone="a",
            link_bytes_per_s=50_000_000,
        )
    organisations = {
        f"organisation-{number}": values.Organisation(
            token_digest=tokens.digest(f"token-{number}"), max_running=64
        )
        for number in range(size.organisations)
    }
    return schema.View(
        endpoints=endpoints,
        organisations=organisations,
        models={MODEL: values.Model(VERSION)},
    )


class Agent:
    """The deciding parts of an agent, without its threads."""

    def __init__(self, size: Size) -> None:
        self.size = size
        self.view = view_of(size)
        self.random = random.Random(7)
        self.kept = kept_cache.KeptCache(lambda: self.view, KEY)
        self.kept.update_stores()
        for store in self.kept.stores.by_name.values():
            store.alive = True
            store.boot_id = "boot"
        example = pathlib.Path("examples/dk-east/instances/cph-hall-a-1.ini")
        self.serving = serving.build_serving(
            settings_module.load(str(example)),
            serving.ServingDependencies(
                view=lambda: self.view,
                members=typing.cast(typing.Any, Members()),
                kept=self.kept,
                imports=Imports(self.kept),
                leaving=frozenset,
                offers=typing.cast(typing.Any, Offers()),
                key=KEY,
            ),
        )
        self.fill()

    def fill(self) -> None:
        """Keep blocks of sessions until the index is full."""
        for session in range(self.size.sessions):
            if len(self.kept.index) + self.size.pieces > kept_cache.MAX_BLOCKS:
                return
            self.keep(session)

    def keep(self, session: int) -> None:
        """Index all of a session's pieces."""
        names = self.kept.names
        organisation = self.organisation(session)
        group = names.group(organisation, f"session-{session}")
        variant = names.variant(MODEL, "", VERSION)
        chain = chain_of(session, self.size.pieces)
        keys = names.keys(organisation, MODEL, "", VERSION, chain)
        for depth, key in enumerate(keys):
            packed = names.pack(names.new_name(group, variant, depth, key))
            block = cache.Block(
                packed,
                BLOCK_BYTES,
                b"c" * 16,
                f"store-{session % 2}",
                "boot",
            )
            self.kept.index.add(block, 0.0, float("inf"))

    def organisation(self, session: int) -> str:
        """Return a session's organisation."""
        return f"organisation-{session % self.size.organisations}"

    def report_loads(self) -> None:
        """Let every engine have reported just now."""
        now = time.monotonic()
        for number in range(self.size.engines):
            self.serving.loads.known[f"engine-{number}"] = loads.Load(
                number % 8, 8, 40, now, "boot", True
            )

    def ask(self) -> messages.Admit:
        """Return a request of a session drawn at random."""
        session = self.random.randrange(self.size.sessions)
        number = session % self.size.organisations
        return messages.Admit(
            token_digest=tokens.digest(f"token-{number}"),
            model=MODEL,
            session=f"session-{session}",
            chain=chain_of(session, self.size.pieces),
            prompt_tokens=self.size.pieces * 1000 + 300,
            max_tokens=24,
            priority=5,
            deadline_ms=20_000,
        )

    def admit(self, request: messages.Admit) -> messages.Granted:
        """Decide about a request."""
        organisation = self.view.organisation_of(request.token_digest)
        assert organisation is not None
        return self.serving.placer.place_prompt(organisation, request, "")

    def end(self, granted: messages.Granted) -> None:
        """Take in a run's first token and its end."""
        placer = self.serving.placer
        placer.record_first_token(
            messages.RunStarted(granted.run_id, 1000, 50)
        )
        placer.end_run(
            messages.RunEnded(
                granted.run_id,
                granted.attempt,
                granted.endpoint,
                messages.RunResult.DONE,
            )
        )


def chain_of(session: int, pieces: int) -> tuple[bytes, ...]:
    """Return a session's chain of digests."""
    return tuple(
        hashlib.blake2b(b"%d %d" % (session, n), digest_size=16).digest()
        for n in range(pieces)
    )


def quantile(samples: list[float], part: float) -> float:
    """Return a quantile, in microseconds."""
    ordered = sorted(samples)
    return round(ordered[int(part * (len(ordered) - 1))] * US, 1)


def measure(varied: str, size: Size) -> Row:
    """Measure one size in process."""
    agent = Agent(size)
    admits, ends = [], []
    for number in range(WARM + ASKS):
        if number % 100 == 0:
            agent.report_loads()
        request = agent.ask()
        # Processor time of this thread: on a shared machine the clock on
        # the wall says more about the neighbours.
        began = time.thread_time()
        granted = agent.admit(request)
        decided = time.thread_time()
        agent.end(granted)
        if number >= WARM:
            admits.append(decided - began)
            ends.append(time.thread_time() - decided)
    return row(varied, agent, admits, ends)


def measure_wire(varied: str, size: Size) -> Row:
    """Measure one size as an entry sees it, over loopback."""
    agent = Agent(size)
    router = wire_server.Router()
    router.on(messages.Admit, lambda peer, request: agent.admit(request))
    me = connection.Identity("agent", "bench")
    server = wire_server.Server("127.0.0.1:0", me, KEY, router)
    server.start()
    client = wire_client.Client(server.address, me, KEY, 512)
    admits, ends = [], []
    for number in range(WARM + ASKS):
        if number % 100 == 0:
            agent.report_loads()
        request = agent.ask()
        began = time.perf_counter()
        granted = client.call(request, 5.0)
        decided = time.perf_counter()
        assert isinstance(granted, messages.Granted)
        agent.end(granted)
        if number >= WARM:
            admits.append(decided - began)
            ends.append(time.perf_counter() - decided)
    client.close()
    server.stop()
    return row(varied, agent, admits, ends)


def row(
    varied: str, agent: Agent, admits: list[float], ends: list[float]
) -> Row:
    """Return a row of the result."""
    return Row(
        varied,
        agent.size,
        len(agent.kept.index),
        quantile(admits, 0.5),
        quantile(admits, 0.95),
        quantile(ends, 0.5),
        quantile(ends, 0.95),
        yardstick(),
    )


def yardstick() -> float:
    """Return the median time of ranking 920 names, in microseconds."""
    names = [f"name-{number}" for number in range(920)]
    took = []
    for session in range(100):
        began = time.thread_time()
        sorted(
            names,
            key=lambda name, session=session: xxhash.xxh64_intdigest(
                f"{session}\0{name}".encode()
            ),
        )
        took.append(time.thread_time() - began)
    return quantile(took, 0.5)


def sizes() -> typing.Iterator[tuple[str, Size]]:
    """Yield the sizes to measure, one thing grown at a time."""
    for engines in (6, 24, 139):
        yield f"engines {engines}", Size(engines=engines)
    for sessions in (1000, 10_000, 100_000):
        yield f"sessions {sessions}", Size(sessions=sessions, pieces=2)
    for count in (10, 100, 960):
        yield f"organisations {count}", Size(organisations=count)
    for pieces in (1, 6, 12):
        yield f"pieces {pieces}", Size(pieces=pieces)


def main() -> None:
    """Measure, print and write the result."""
    out = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else RESULT
    load_before = os.getloadavg()[0]
    rows = [measure(varied, size) for varied, size in sizes()]
    rows.append(measure_wire("over the wire, today", Size(6, 1000, 10, 6)))
    rows.append(measure_wire("over the wire, largest", Size(139, pieces=12)))
    for one in rows:
        print(
            f"{one.varied:24} blocks {one.kept_blocks:6}"
            f" admit {one.admit_p50:7.1f} {one.admit_p95:7.1f}"
            f" end {one.end_p50:6.1f} {one.end_p95:7.1f} us"
            f" yardstick {one.yardstick:6.1f}"
        )
    result = {
        "cores": os.cpu_count(),
        "load_before": round(load_before, 1),
        "load_after": round(os.getloadavg()[0], 1),
        "asks": ASKS,
        "rows": [dataclasses.asdict(one) for one in rows],
    }
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
