"""Real agents that give orders to engines, with links to break."""

from __future__ import annotations

import pathlib
import typing

from tests.matrix import processes
from tests.matrix import proxy
from tests.orders import deployment as orders_deployment

from briarseam.leases import fold
from briarseam.leases import records
from briarseam.testing import deployment
from briarseam.testing import engine_messages
from briarseam.testing import engine_switches
from briarseam.testing import ports
from briarseam.testing import waiting

FLOOR = 2
ENGINES = 3
INSTANCES = 2
TTL_S = 2.0
LEASES = "leases"
ANSWER = engine_messages.OrderAnswer | engine_messages.Fenced
FIRST = "engine-0"


class Rollouts(deployment.Deployment):
    """Agents as processes, engines and log in this one.

    Attributes
    ----------
    to_engines, to_log
        Links to each engine, and of each agent to the log.
    orders
        Every order that reached an engine, with its answer.
    """

    def __init__(self, folder: pathlib.Path, fencing: bool) -> None:
        switches = engine_switches.Switches(load_s=0.3, fencing=fencing)
        shape = deployment.Shape(INSTANCES, engines=ENGINES, services=0)
        super().__init__(folder, shape, switches)
        self.to_engines = {name: proxy.Proxy() for name in self.engines}
        self.to_log: list[proxy.Proxy] = []
        self.agents: list[processes.Daemon] = []
        self.orders: dict[str, list[tuple[typing.Any, ANSWER]]] = {
            name: self.record(name) for name in self.engines
        }
        self.sampler = orders_deployment.Sampler(self.engines)
        self.serial = 1
        self.wanted = deployment.VERSION

    def record(self, name: str) -> list[tuple[typing.Any, ANSWER]]:
        """Return a list that will have an engine's orders and answers."""
        weights = self.engines[name].weights
        take = weights.take
        taken: list[tuple[typing.Any, ANSWER]] = []

        def recorded(order: engine_messages.Order) -> ANSWER:
            answer = take(order)
            taken.append((order, answer))
            return answer

        weights.take = recorded  # type: ignore[method-assign]
        return taken

    def tree(self) -> dict[str, typing.Any]:
        tree = super().tree()
        del tree["platform/weights"]
        tree[f"models/{deployment.MODEL}"]["floor"] = FLOOR
        for name, link in self.to_engines.items():
            link.target = self.engines[name].address
            tree[f"endpoints/{name}"]["address"] = link.address
        return tree

    def start_instances(self) -> None:
        numbers = ports.free_ports(2 * INSTANCES)
        agents = [f"127.0.0.1:{port}" for port in numbers[:INSTANCES]]
        for number, address in enumerate(agents):
            entry = f"127.0.0.1:{numbers[INSTANCES + number]}"
            self.write_settings(number, address, entry, agents)
            link = proxy.Proxy(self.log.address)
            self.to_log.append(link)
            path = self.folder / f"instance-{number}.ini"
            text = path.read_text()
            text = text.replace(self.log.address, link.address)
            text = text.replace(
                "[agent]", f"[agent]\nlease_ttl_ms = {TTL_S:g}s"
            )
            path.write_text(text)
            self.agents.append(processes.Daemon("agent", str(path)))
        for agent in self.agents:
            agent.start()

    def is_serving(self) -> bool:
        return True

    def __exit__(self, *exc_info: object) -> None:
        self.sampler.stopping.set()
        for agent in self.agents:
            agent.kill()
        for link in (*self.to_log, *self.to_engines.values()):
            link.stop()
        super().__exit__(*exc_info)

    def links(self) -> list[proxy.Proxy]:
        return [*self.to_log, *self.to_engines.values()]

    def want(self, version: str) -> None:
        """Publish a weight version."""
        self.wanted = version
        wanted = {"version": version, "floor": FLOOR}
        self.publish({f"models/{deployment.MODEL}": wanted})

    def until_all(self, version: str) -> None:
        """Wait until every engine serves a version."""
        waiting.until(
            lambda: all(
                one.weights.model(deployment.MODEL)
                == engine_messages.ModelState(version)
                for one in self.engines.values()
            ),
            20,
            f"all engines serve {version}",
        )

    def new_version(self) -> str:
        """Return a version that was never wanted before."""
        self.serial += 1
        return f"v{self.serial}"

    def holder(self) -> int:
        """Return the number of the agent that holds the lease."""
        table = fold.Fold()
        for record in self.log.stream(LEASES).records:
            table.apply(record.offset, records.decode(record.content))
        [lease] = table.leases.values()
        name = lease.holder.partition("/")[0]
        return int(name.rpartition("-")[2])

    def watch(self) -> None:
        """Begin to record engines and orders anew."""
        for taken in self.orders.values():
            taken.clear()
        self.sampler.stopping.set()
        self.sampler = orders_deployment.Sampler(self.engines)
        self.sampler.thread.start()

    def heal(self) -> None:
        """Undo all faults and wait until the last change is done."""
        for link in self.links():
            link.arm(None)
        for agent in self.agents:
            agent.revive()
        self.until_all(self.wanted)
