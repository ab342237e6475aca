"""Instances, engines and a store while organisations become isolated."""

from __future__ import annotations

import dataclasses
import itertools

from briarseam.compose import node as compose
from briarseam.testing import waiting
from tests.platform import cache_store
from tests.platform import caching_engine
from tests.platform import instances
from tests.platform import system as systems

ORGANISATIONS = ("chain", "inspectors", "kitchens")
SHARED_PART = "aa"
TIMEOUT_S = 10


@dataclasses.dataclass(frozen=True)
class Step:
    """One change.

    Attributes
    ----------
    isolated
        Organisations that are isolated from then on.
    keyless
        Organisations that have no key from then on.
    removed
        Organisations that the configuration does not name.
    restart
        Whether all instances are replaced after the change.
    weights
        Weight version that the engines have from then on.
    """

    isolated: tuple[str, ...] = ()
    keyless: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    restart: bool = False
    weights: int = 1


class Case:
    """Instances whose requests share one part of their prompts.

    Parameters
    ----------
    system
        Where they run.
    count
        Number of instances.
    changes
        Fields of the configuration that replace the usual ones.
    """

    def __init__(
        self,
        system: systems.System,
        count: int = 3,
        changes: dict[str, object] | None = None,
    ) -> None:
        self.system = system
        self.changes = changes or {}
        self.count = count
        self.store = system.stack.enter_context(cache_store.CacheStore(7))
        self.uses = caching_engine.Uses()
        self.isolation = caching_engine.Isolation()
        self.cache = caching_engine.PromptCache(
            self.uses, {self.store.address: self.store}
        )
        self.versions = itertools.count(1)
        self.names = itertools.count()
        self.calls = itertools.count()
        self.nodes: list[compose.Node] = []
        self.weights = 1
        self.add_engine("engine-1")
        self.configure(Step())
        system.start()
        self.nodes = instances.start_others(system, count - 1)

    def add_engine(self, name: str) -> None:
        """Start an engine that has the same cached parts as all others."""
        engine = caching_engine.CachingEngine(name, self.cache)
        self.system.add(engine, "engines", weights=1)
        waiting.until(
            lambda: all(
                len(node.feeds.registry.all()) == len(self.system.workers)
                for node in self.nodes
            ),
            TIMEOUT_S,
        )

    def configure(self, step: Step) -> int:
        """Write a configuration; return its version."""
        version = next(self.versions)
        document = systems.configuration(version, **self.changes)
        engines = document["services"][1]["engine"]
        engines |= {"kvTokenBytes": 1000, "linkMbps": 1000.0}
        document["services"].append(
            {
                "name": "keep",
                "kvStoreAddr": self.store.address,
                "zone": "hall-a",
                "kvCapacityTokens": 100_000,
                "linkMbps": 1000.0,
                "managed": True,
            }
        )
        document["tenants"] = [
            {
                "name": name,
                "apiKeys": [] if name in step.keyless else [key_of(name)],
                "isolated": name in step.isolated,
            }
            for name in ORGANISATIONS
            if name not in step.removed
        ]
        self.system.store.write("keyed.op", "config", document)
        return version

    def play(self, step: Step) -> dict[str, list[str]]:
        """Apply a change, and send prompts of all organisations.

        Returns
        -------
        dict[str, list[str]]
            Ids of the requests that were served, by organisation.
        """
        self.apply(step)
        self.await_store()
        return self.send_all(step)

    def apply(self, step: Step) -> None:
        """Apply a change, and wait until it is in force everywhere."""
        self.weights = step.weights
        version = self.configure(step)
        if step.restart:
            self.restart()
        self.system.write_entry("engine-1", "engines", weights=step.weights)
        waiting.until(
            lambda: all(
                node.feeds.configuration_version() == version
                for node in self.nodes
            ),
            TIMEOUT_S,
        )
        waiting.until(
            lambda: all(
                min(
                    endpoint.versions[systems.MODEL]
                    for endpoint in node.feeds.registry.all()
                )
                == step.weights
                for node in self.nodes
            ),
            TIMEOUT_S,
        )
        self.isolation.record(step.isolated)

    def send_all(self, step: Step) -> dict[str, list[str]]:
        """Send prompts of all organisations that have a key."""
        sent: dict[str, list[str]] = {}
        for name in ORGANISATIONS:
            if name in {*step.keyless, *step.removed}:
                continue
            sent[name] = []
            for node in self.nodes * 2:
                self.await_sharing()
                sent[name].append(self.send(name, node))
        return sent

    def restart(self) -> None:
        """Replace all instances; none of the former ones is left."""
        for node in self.nodes:
            node.stop()
        self.nodes = [
            self.system.launch_another(f"again-{next(self.names)}")
            for _ in range(self.count)
        ]
        waiting.until(
            lambda: all(
                node.is_ready() and node.feeds.registry.all()
                for node in self.nodes
            ),
            TIMEOUT_S,
        )

    def await_store(self) -> None:
        """Wait until all instances may fetch what the store holds."""
        waiting.until(
            lambda: all(
                node.fetch_leases.end_of_fetch(systems.MODEL, self.weights)
                for node in self.nodes
            ),
            TIMEOUT_S,
        )
        address = self.store.address
        waiting.until(
            lambda: all(
                node.chooser.kept_index.stores[address].held == self.store.held
                for node in self.nodes
            ),
            TIMEOUT_S,
        )
        waiting.until(
            lambda: all(
                node.chooser.kept_index.endpoint_clocks.shown(0.0) is not None
                for node in self.nodes
            ),
            TIMEOUT_S,
        )
        self.await_sharing()

    def await_sharing(self) -> None:
        """Wait until all instances share cached parts.

        They share nothing for a moment after the processor was away.
        """
        waiting.until(
            lambda: (
                not any(
                    node.chooser.sharing.is_outdated() for node in self.nodes
                )
            ),
            TIMEOUT_S,
        )

    def send(self, organisation: str, node: compose.Node) -> str:
        """Send a prompt of an organisation; return its id."""
        call = f"{organisation}-{next(self.calls)}"
        answer = self.system.http.request(
            "POST",
            f"http://{node.settings.listen.callers}/draft/x",
            body=b"{}",
            headers=systems.callers_headers(
                key_of(organisation), self.prompt(call)
            ),
        )
        assert answer.status == 200, (call, answer.status, answer.data)
        return call

    def prompt(self, call: str) -> dict[str, str]:
        """Return the headers of a prompt with the shared part."""
        return systems.PROMPT | {
            "Request_Id": call,
            "Prefix_Hash": f"{SHARED_PART}:600,{call}:400",
        }

    def crossings(self) -> list[caching_engine.Use]:
        """Return the uses of a part across the wall of an organisation."""
        return self.isolation.crossings(self.uses, apply_s=0.0)

    def ran(self, call: str) -> int:
        """Return how often a request ran."""
        with self.uses.lock:
            return [run[1] for run in self.uses.runs].count(call)

    def used_shared(self, call: str) -> bool:
        """Return whether a request ran on a shared part computed before."""
        return any(use.part == SHARED_PART for use in self.uses.of(call))


def key_of(organisation: str) -> str:
    """Return the key of an organisation."""
    return f"key-of-{organisation}"
