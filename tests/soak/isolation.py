"""Organisations that become isolated, beside other faults and new weights."""

from __future__ import annotations

import random
import typing

from tests.platform import cache_store
from tests.platform import caching_engine
from tests.platform import system
from tests.soak import callers
from tests.soak import crashes
from tests.soak import faults

from briarseam.testing import http_messages

if typing.TYPE_CHECKING:
    import collections.abc

    from tests.platform import worker as workers
    from tests.soak import serving

KEYS = {
    "north": system.KEY,
    "south": "key-of-south",
    "west": "key-of-west",
}
# The first one's callers tell whether all instances serve.
MAY_LOSE_KEYS = ("south", "west")
PROMPTS = tuple(kind for kind in callers.KINDS if kind.stream)
MISDIRECTED = 421
STORE_TOKENS = 200_000
# Shortest and longest time between two changes.
GAP_S = (0.2, 4.0)
# Within which instances apply an acknowledged change.
APPLY_S = 2.0
OTHERS = (
    faults.StoreCut,
    faults.StoreTrouble,
    faults.EndpointReplaced,
    faults.Misbehaviour,
    faults.Paused,
    faults.Ended,
    faults.Reloaded,
    faults.Reconfigured,
)


class Kept:
    """What engines and the store keep, and what requests ran on.

    Attributes
    ----------
    uses
        What requests ran on.
    stores
        The stores of parts.
    isolation
        Who was isolated, and when.
    tenants
        The organisations of the configuration.
    weights
        Weight version of all engines.
    """

    def __init__(
        self, stores: collections.abc.Sequence[cache_store.CacheStore] = ()
    ) -> None:
        self.uses = caching_engine.Uses()
        self.stores = stores or [cache_store.CacheStore(None)]
        self.isolation = caching_engine.Isolation()
        self.tenants = tenants_of((), ())
        self.weights = 1

    def new_cache(self) -> caching_engine.PromptCache:
        """Return the memory of an engine that has just started."""
        return caching_engine.PromptCache(self.uses, self.by_address())

    def new_engine(self, *args: typing.Any) -> Engine:
        """Return an endpoint that has just started."""
        made = Engine(*args)
        made.kept, made.cache = self, self.new_cache()
        return made

    def by_address(self) -> dict[str, cache_store.CacheStore]:
        """Return the stores by their address."""
        return {store.address: store for store in self.stores}

    def add_to(self, document: dict) -> None:
        """Add organisations and the store to a configuration."""
        document["tenants"] = self.tenants
        document["services"] = [
            *document["services"],
            *(
                {
                    "name": f"keep-{number}",
                    "kvStoreAddr": store.address,
                    "zone": "hall-a",
                    "kvCapacityTokens": STORE_TOKENS,
                    "linkMbps": 10000.0,
                    "managed": True,
                }
                for number, store in enumerate(self.stores)
            ),
        ]

    def record(self) -> None:
        """Record that a configuration was acknowledged."""
        self.isolation.record(
            one["name"] for one in self.tenants if one["isolated"]
        )


class Engine(crashes.CrashingWorker):
    """Endpoint that caches parts, and runs on its own weights only."""

    def __init__(self, *args: typing.Any) -> None:
        super().__init__(*args)
        self.kept: Kept | None = None
        self.cache: caching_engine.PromptCache | None = None

    def weights(self) -> int:
        """Return the version of the engine's weights."""
        return self.kept.weights

    def models(self) -> list[dict[str, object]]:
        """Return the models in its entry."""
        return [{"name": system.MODEL, "version": self.weights()}]

    def run(
        self,
        request: http_messages.Request,
        call: str,
        echo: workers.Headers,
    ) -> http_messages.Response:
        """Run a request on what is cached of its prompt."""
        expected = request.headers.get("expect-version", "")
        if expected and expected != str(self.weights()):
            return http_messages.Response(MISDIRECTED, headers=echo)
        self.cache.run(request)
        return super().run(request, call, echo)


def tenants_of(
    isolated: collections.abc.Collection[str],
    keyless: collections.abc.Collection[str],
) -> list[dict]:
    """Return the organisations in the operators' format."""
    return [
        {
            "name": name,
            "apiKeys": [] if name in keyless else [key],
            "isolated": name in isolated,
        }
        for name, key in KEYS.items()
    ]


def draw_change(random_: random.Random) -> faults.Fault:
    """Return a change of who is isolated, or of the weights."""
    if random_.random() < 0.15:
        return faults.WeightsReplaced()
    isolated = [name for name in KEYS if random_.random() < 0.4]
    keyless = [name for name in MAY_LOSE_KEYS if random_.random() < 0.15]
    return faults.Isolated(tuple(isolated), tuple(keyless))


def plan(
    seed: int,
    seconds: float,
    instances: int,
    others: collections.abc.Sequence[faults.Planned],
) -> list[faults.Planned]:
    """Return changes in series beside faults, of which some are left out."""
    random_ = random.Random(seed)
    found = [one for one in others if isinstance(one.fault, OTHERS)]
    if seed % 3 == 0:
        found = []
    if seed % 2:
        everyone = tuple(range(instances))
        at_s = random_.uniform(0.3, 0.7) * seconds
        found.append(
            faults.Planned(at_s, 0.5, faults.InstancesKilled(everyone, 0.0))
        )
    at_s = 1.0
    while at_s < seconds - 1.0:
        found.append(faults.Planned(at_s, 0.0, draw_change(random_)))
        at_s += random_.uniform(*GAP_S)
    return sorted(found, key=lambda one: one.at_s)


def check(
    deployment: serving.Deployment, sent: list[callers.Sent]
) -> typing.Iterator[str]:
    """Yield each request that ran on what it must not use."""
    kept = deployment.kept
    if kept is None:
        return
    by_id = {one.id: one for one in sent}
    for use in kept.isolation.crossings(kept.uses, APPLY_S):
        yield f"{describe(use, by_id)}, of which one was isolated"
    for use in caching_engine.foreign_weights(kept.uses):
        yield f"{describe(use, by_id)}, made on weights {use.made.version}"
    if kept.uses.runs and not kept.uses.used:
        yield "no request ran on a cached part"


def describe(use: caching_engine.Use, by_id: dict[str, callers.Sent]) -> str:
    """Return what a request ran on, and where it was sent."""
    where = by_id[use.request].instance.name if use.request in by_id else "?"
    source = f" from {use.store}" if use.store else ""
    return (
        f"{use.request} of {use.organisation} at {where}, at {use.at_s:.2f} s "
        f"on weights {use.version}, used {use.salt} {use.part}{source} of "
        f"{use.made.organisation}"
    )
