"""An engine, stores and the kept caches of agents in this process."""

from __future__ import annotations

import dataclasses
import threading

from briarseam.cache import pieces
from briarseam.cache import service
from briarseam.cache import state
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.testing import engine as engines
from briarseam.testing import engine_cache
from briarseam.testing import ports as free_ports
from briarseam.testing import store as stores
from briarseam.testing import waiting
from briarseam.testing import words

KEY = b"a secret of the agents"
POLL_S = 0.02
KV_BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True)
class Read:
    """One block that was read, with its size at that time."""

    name: str
    size: int


class RecordingStore(stores.Store):
    """A store that records reads and deletions."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.reads: list[Read] = []
        self.deleted: list[str] = []

    def answer(self, request):
        match request.method, request.path:
            case "GET", ("blocks", name):
                found = self.blocks.read(name, self.switches.memory_bytes)
                if found is not None:
                    size = len(found.block.content)
                    self.reads.append(Read(name, size))
            case "DELETE", ("blocks", name):
                self.deleted.append(name)
        return super().answer(request)


class Counts:
    """Counters whose values a test can read."""

    def __init__(self):
        self.values: dict[str, int] = {}
        self.lock = threading.Lock()

    def count(self, name, amount=1):
        with self.lock:
            self.values[name] = self.values.get(name, 0) + amount

    def of(self, name):
        return self.values.get(name, 0)


class Site:
    """The engine and the stores around one or more agents.

    Parameters
    ----------
    store_names
        Names of the stores to start.
    """

    def __init__(self, store_names=("keep-a",), **kept_cache):
        switches = engines.Switches(
            kv_bytes_per_token=KV_BYTES_PER_TOKEN, cache_tokens=10_000_000
        )
        self.engine = engines.Engine(switches, models={"draft": "v1"}).start()
        self.stores = {
            name: waiting.until(
                lambda: started(f"127.0.0.1:{free_ports.free_port()}"),
                what="a free port",
            )
            for name in store_names
        }
        self.models = {"draft": values.Model(version="v1")}
        self.organisations = {}
        self.link_bytes_per_s = 0
        self.policy = values.CachePolicy(**kept_cache)
        self.agents: list[service.KeptCache] = []

    def view(self):
        endpoints = {
            name: values.Endpoint(
                kind=values.EndpointKind.STORE,
                address=store.address,
                zone="z",
                link_bytes_per_s=self.link_bytes_per_s,
            )
            for name, store in self.stores.items()
        }
        return schema.View(
            offset=1,
            endpoints=endpoints,
            models=self.models,
            organisations=self.organisations,
            kept_cache=self.policy,
        )

    def agent(self, ports=None, **options):
        kept = service.KeptCache(
            self.view,
            KEY,
            Counts(),
            ports,
            poll_s=POLL_S,
            **{"sweep_pause_s": 0.0, **options},
        )
        self.agents.append(kept)
        kept.start()
        waiting.until(
            lambda: len(kept.stores.writable()) == len(self.stores),
            what="the stores",
        )
        return kept

    def restart_store(self, name):
        """Stop a store and start an empty one at the same address."""
        address = self.stores[name].address
        self.stores[name].stop()
        self.stores[name] = waiting.until(
            lambda: started(address), what="the store's port"
        )

    def run(self, kept, organisation, chain, version="v1", session="s"):
        """Put a prompt's KV into the engine, as a finished run does."""
        salt = kept.salt(organisation)
        self.engine.cache.add(
            [
                engine_cache.Prefix(
                    "draft", version, pieces.salted(digest, salt)
                )
                for digest in chain
            ]
        )
        kept.after_run(
            organisation,
            "draft",
            "",
            version,
            chain,
            self.engine.address,
            session,
        )

    def forget(self):
        """Evict everything from the engine's memory."""
        with self.engine.cache.lock:
            self.engine.cache.prefixes.clear()

    def cached(self, kept, organisation, chain, version="v1"):
        """Return how many pieces of a chain the engine holds."""
        salt = kept.salt(organisation)
        return sum(
            self.engine.cache.contains(
                engine_cache.Prefix(
                    "draft", version, pieces.salted(digest, salt)
                )
            )
            for digest in chain
        )

    def plan(
        self,
        kept,
        organisation,
        chain,
        version="v1",
        cached_pieces=0,
        session="s",
    ) -> state.Plan:
        return kept.plan(
            organisation, "draft", "", version, chain, cached_pieces, session
        )

    def run_and_export(
        self, kept, organisation, chain, session="s", count=None
    ):
        """Run a prompt, wait until its pieces are kept and return the plan."""
        self.run(kept, organisation, chain, session=session)
        expected = len(chain) if count is None else count

        def current_plan():
            return self.plan(kept, organisation, chain, session=session)

        waiting.until(
            lambda: len(current_plan().blocks) >= expected, what="the exports"
        )
        return current_plan()

    def stop(self):
        for kept in self.agents:
            kept.stop()
        for store in self.stores.values():
            store.stop()
        self.engine.stop()


def started(address):
    """Return a store started at an address, None if that is in use."""
    try:
        return RecordingStore(listen=address).start()
    except OSError:
        return None


def chain(count, seed=0):
    """Return the unsalted chain of a prompt of ``count`` pieces."""
    return pieces.chain(words.prompt(1000 * count, seed))
