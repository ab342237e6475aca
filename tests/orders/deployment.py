"""Stand-ins and agents that issue orders, all in one process."""

from __future__ import annotations

import contextlib
import dataclasses
import threading

from briarseam.backing import log as platform_log
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import engine_orders
from briarseam.leases import service as leases_service
from briarseam.metrics import registry
from briarseam.orders import peers
from briarseam.orders import service as orders_service
from briarseam.testing import engine
from briarseam.testing import log_service
from briarseam.testing import waiting
from briarseam.timeline import ring

MODEL = "draft"
TTL_S = 2.0
CALL_S = 0.4
ZONES = ("cph-hall-a", "cph-hall-b", "roskilde-hall")


@dataclasses.dataclass
class Agent:
    leases: leases_service.Leases
    orders: orders_service.Orders
    ring: ring.Ring

    def events(self, kind: str):
        return [event for event in self.ring.since() if event.kind == kind]


class Sampler:
    """Samples the engines' actual state instead of their polled reports."""

    def __init__(self, engines: dict[str, engine.Engine]) -> None:
        self.engines = engines
        self.fewest_serving = len(engines)
        self.most_loading = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)

    def watch(self) -> None:
        while not self.stopping.wait(0.002):
            states = [
                stand_in.weights.state().models.get(MODEL)
                for stand_in in self.engines.values()
            ]
            loading = sum(
                bool(model_state and model_state.loading)
                for model_state in states
            )
            serving = sum(
                bool(
                    model_state
                    and model_state.version
                    and not model_state.loading
                )
                for model_state in states
            )
            self.most_loading = max(self.most_loading, loading)
            self.fewest_serving = min(self.fewest_serving, serving)


class Deployment:
    def __init__(self, stack: contextlib.ExitStack) -> None:
        self.stack = stack
        self.log = stack.enter_context(log_service.LogService())
        self.engines: dict[str, engine.Engine] = {}
        self.addresses: dict[str, str] = {}
        self.view = schema.View()
        self.agents: list[Agent] = []

    def add_engines(self, count: int, version: str = "v1", **switches) -> None:
        options = {"load_s": 0.2, **switches}
        models = {MODEL: version} if version else {}
        for _ in range(count):
            stand_in = engine.Engine(engine.Switches(**options), models=models)
            self.stack.enter_context(stand_in)
            name = f"worker-{len(self.engines) + 1}"
            self.engines[name] = stand_in
            self.addresses[name] = stand_in.address

    def configure(
        self,
        version: str,
        floor: int = 1,
        adapter: str = "",
        role: str = "",
        weights: str | None = None,
        max_loading: int = 2,
    ) -> schema.View:
        """Change the configuration."""
        endpoints = {
            name: values.Endpoint(
                kind=values.EndpointKind.ENGINE,
                address=address,
                zone=ZONES[index % len(ZONES)],
                models=(MODEL,),
                role=role,
            )
            for index, (name, address) in enumerate(self.addresses.items())
        }
        self.view = schema.View(
            offset=self.view.offset + 1,
            models={MODEL: values.Model(version, adapter, floor)},
            endpoints=endpoints,
            weights=values.Weights(weights, max_loading) if weights else None,
        )
        return self.view

    def add_agent(self, engines=None, view=None, position=0) -> Agent:
        name = f"agent-{len(self.agents) + 1}"
        leases = leases_service.Leases(
            platform_log.LogClient(self.log.address), name, TTL_S
        )
        events = ring.Ring(name)
        orders = orders_service.Orders(
            name,
            view or (lambda: self.view),
            leases,
            engines or engine_orders.OrderClient(CALL_S),
            registry.Registry(),
            events.note,
            peers.Peers(precedence=lambda lease: position),
        )
        leases.start()
        orders.start()
        self.stack.callback(leases.stop)
        self.stack.callback(orders.stop)
        self.agents.append(Agent(leases, orders, events))
        return self.agents[-1]

    def sampler(self) -> Sampler:
        sampler = Sampler(self.engines)
        sampler.thread.start()
        self.stack.callback(sampler.stopping.set)
        return sampler

    def versions(self) -> list[str | None]:
        return [
            stand_in.weights.version(MODEL)
            for stand_in in self.engines.values()
        ]

    def loading(self) -> list[str]:
        loading_states = (
            stand_in.weights.model(MODEL) for stand_in in self.engines.values()
        )
        return [
            state.loading
            for state in loading_states
            if state and state.loading
        ]

    def until_all(self, version: str, timeout_s: float = 15) -> None:
        waiting.until(
            lambda: set(self.versions()) == {version} and not self.loading(),
            timeout_s,
            f"all engines to serve {version}, they serve {self.versions()}",
        )

    def until_done(self, timeout_s: float = 15) -> None:
        """Wait until every agent reports the rollout as done."""
        waiting.until(
            lambda: all(
                model.done and not model.unreachable
                for agent in self.agents
                for model in agent.orders.status()
            ),
            timeout_s,
            "every agent to report the rollout as done",
        )
