"""An engine, stores and one agent's kept cache in this process."""

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
    """One block that a store gave: what it was when it was read."""

    name: str
    size: int


class RecordingStore(stores.Store):
    """A store that remembers what was read and what was deleted."""

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
    """Counters that a test can look at."""

    def __init__(self):
        self.values: dict[str, int] = {}
        self.lock = threading.Lock()

    def count(self, name, amount=1):
        with self.lock:
            self.values[name] = self.values.get(name, 0) + amount

    def of(self, name):
        return self.values.get(name, 0)


class Site:
    """The processes around one or more agents.

    Parameters
    ----------
    store_names
        Stores to start.
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
        """Kill a store and start an empty one at the same address."""
        address = self.stores[name].address
        self.stores[name].stop()
        self.stores[name] = waiting.until(
            lambda: started(address), what="the store's port"
        )

    def run(self, kept, organisation, chain, version="v1", session="s"):
        """Let the engine hold a prompt's KV, as a run leaves it."""
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

    def kept(self, kept, organisation, chain, session="s", count=None):
        """Run a prompt and wait until its pieces are kept."""
        self.run(kept, organisation, chain, session=session)
        wanted = len(chain) if count is None else count

        def found():
            return self.plan(kept, organisation, chain, session=session)

        waiting.until(
            lambda: len(found().blocks) >= wanted, what="the exports"
        )
        return found()

    def stop(self):
        for kept in self.agents:
            kept.stop()
        for store in self.stores.values():
            store.stop()
        self.engine.stop()


def started(address):
    """Return a store at an address, None while that is still taken."""
    try:
        return RecordingStore(listen=address).start()
    except OSError:
        return None


def chain(count, seed=0):
    """Return the plain chain of a prompt of ``count`` pieces."""
    return pieces.chain(words.prompt(1000 * count, seed))
