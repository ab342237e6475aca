"""A small whole deployment in one process, for tests and trials.

Stand-ins, agents and entries run as threads on free loopback ports.  What
needs real processes (kills, freezes) starts them from the shell or from a
test; this is for everything else.
"""

from __future__ import annotations

import dataclasses
import pathlib
import secrets
import typing

from briarseam import settings as settings_module
from briarseam import tokens
from briarseam.backing import log as platform_log
from briarseam.compose import agent as compose_agent
from briarseam.compose import entry as compose_entry
from briarseam.configuration import fold as folds
from briarseam.configuration import loading
from briarseam.configuration import publish
from briarseam.configuration import records
from briarseam.configuration import teams
from briarseam.testing import caller
from briarseam.testing import engine
from briarseam.testing import engine_switches
from briarseam.testing import instance_list
from briarseam.testing import log_service
from briarseam.testing import plain_service
from briarseam.testing import ports
from briarseam.testing import store
from briarseam.testing import waiting
from briarseam.testing import weight_store

MODEL = "draft"
VERSION = "v1"
SERVICE = "renewals"
CALL = "submit"
TEAM = "platform"
TEAM_KEY = "test-key-of-team-platform"
# Its own in each process: an address may pass to another deployment.
SHARED_KEY = secrets.token_hex(16)
ORGANISATIONS = ("north", "south")
IP = "127.0.0.1"
PATHS = (
    "organisations",
    "models",
    "endpoints",
    "services",
    "policies",
    "cells",
    "zones",
    "platform",
)

SETTINGS = """\
[instance]
name = {name}
zone = {zone}
region = test
agent_address = {agent}
entry_addresses = {entry}

[agent]
listen = {agent}
shared_key = {shared_key}
peers_seed = {seeds}
heartbeat_interval_ms = 100ms
suspect_after_ms = 1s
stale_after_ms = 5s
lookup_ttl_s = 500ms

[entry]
listen = {entry}
agent = {agent}
threads = 64

[platform]
log = {log}
instances = {instances}
weights = {weights}

[team {team}]
key = {team_key}
paths = {paths}

[logging]
level = error
"""


@dataclasses.dataclass(frozen=True)
class Shape:
    """How large a deployment is.

    Attributes
    ----------
    instances
        Instances, each one agent and one entry.
    engines, services, stores
        Endpoints of each kind.
    zones
        Availability zones that instances and endpoints are spread over.
    """

    instances: int = 1
    engines: int = 2
    services: int = 1
    stores: int = 0
    zones: int = 1


FAST_ENGINE = engine_switches.Switches(
    prefill_s_per_piece=0.02, token_s=0.002, load_lag_ms=50
)


@dataclasses.dataclass
class Instance:
    """One instance's settings and daemons."""

    settings: settings_module.Settings
    agent: compose_agent.AgentDaemon
    entry: compose_entry.EntryDaemon

    @property
    def name(self) -> str:
        """Return the instance's name."""
        return self.settings.instance.name

    @property
    def address(self) -> str:
        """Return the entry's address."""
        return str(self.settings.entry.listen)


class Deployment:
    """Stand-ins and instances, started and stopped together.

    Parameters
    ----------
    folder
        Where settings files go.
    shape
        How large it is.
    switches
        Switches of every engine.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        shape: Shape | None = None,
        switches: engine_switches.Switches = FAST_ENGINE,
    ) -> None:
        self.folder = folder
        self.shape = shape or Shape()
        self.log = log_service.LogService()
        self.list = instance_list.InstanceList()
        self.weights = weight_store.WeightStore()
        self.engines = {
            f"engine-{number}": engine.Engine(
                switches, models={MODEL: VERSION}, seed=number
            )
            for number in range(self.shape.engines)
        }
        self.services = {
            f"service-{number}": plain_service.PlainService()
            for number in range(self.shape.services)
        }
        self.stores = {
            f"store-{number}": store.Store()
            for number in range(self.shape.stores)
        }
        self.instances: list[Instance] = []
        self.fold = folds.Fold()

    def __enter__(self) -> Deployment:
        """Start everything and wait until callers are served."""
        for part in self.stand_ins():
            part.start()
        self.publish(self.tree())
        self.start_instances()
        waiting.until(self.is_serving, what="all instances serve")
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop everything."""
        for instance in self.instances:
            instance.entry.stop()
            instance.agent.stop()
        for part in self.stand_ins():
            part.stop()

    def stand_ins(self) -> list[typing.Any]:
        """Return all stand-ins."""
        return [
            self.log,
            self.list,
            self.weights,
            *self.engines.values(),
            *self.services.values(),
            *self.stores.values(),
        ]

    def zone(self, number: int) -> str:
        """Return the zone of the number-th instance or endpoint."""
        return f"zone-{number % self.shape.zones}"

    def tree(self) -> dict[str, typing.Any]:
        """Return the configuration of this deployment."""
        tree: dict[str, typing.Any] = {
            f"models/{MODEL}": {"version": VERSION},
            f"services/{SERVICE}": {"non_idempotent": [CALL]},
            "platform/weights": {"address": self.weights.address},
        }
        for name in ORGANISATIONS:
            digest = tokens.digest(token_of(name))
            tree[f"organisations/{name}"] = {"token_digest": digest}
        for number, (name, part) in enumerate(self.engines.items()):
            tree[f"endpoints/{name}"] = {
                "kind": "engine",
                "address": part.address,
                "zone": self.zone(number),
                "models": [MODEL],
            }
        for number, (name, plain) in enumerate(self.services.items()):
            tree[f"endpoints/{name}"] = {
                "kind": "service",
                "address": plain.address,
                "zone": self.zone(number),
                "services": [SERVICE],
            }
        for number, (name, kept) in enumerate(self.stores.items()):
            tree[f"endpoints/{name}"] = {
                "kind": "store",
                "address": kept.address,
                "zone": self.zone(number),
            }
        return tree

    def teams(self) -> teams.Teams:
        """Return the teams whose changes count."""
        team = teams.Team(TEAM, (TEAM_KEY.encode(),), PATHS)
        return teams.Teams((team,))

    def publish(self, sets: typing.Mapping[str, typing.Any]) -> int:
        """Publish a change; return its offset."""
        client = platform_log.LogClient(self.log.address)
        loading.read_tail(client, self.fold, self.teams())
        publisher = publish.Publisher(client, self.teams(), self.fold)
        change = records.Change(
            id=records.new_id(),
            author=TEAM,
            operator="test",
            base=self.fold.offset,
            expects={path: self.fold.revision(path) for path in sets},
            sets=dict(sets),
        )
        outcome = publisher.apply(change)
        if not isinstance(outcome, folds.Accepted):
            raise AssertionError(f"not accepted: {outcome}")
        return outcome.offset

    def start_instances(self) -> None:
        """Start the instances, all knowing each other's addresses."""
        count = self.shape.instances
        numbers = ports.free_ports(2 * count, IP)
        agents = [f"{IP}:{port}" for port in numbers[:count]]
        entries = [f"{IP}:{port}" for port in numbers[count:]]
        for number, (agent, entry) in enumerate(
            zip(agents, entries, strict=True)
        ):
            settings = self.write_settings(number, agent, entry, agents)
            self.start_instance(settings)

    def write_settings(
        self, number: int, agent: str, entry: str, seeds: list[str]
    ) -> settings_module.Settings:
        """Write and load an instance's settings file."""
        path = self.folder / f"instance-{number}.ini"
        path.write_text(
            SETTINGS.format(
                name=f"instance-{number}",
                zone=self.zone(number),
                agent=agent,
                entry=entry,
                seeds=", ".join(seeds),
                shared_key=SHARED_KEY,
                log=self.log.address,
                instances=self.list.address,
                weights=self.weights.address,
                team=TEAM,
                team_key=TEAM_KEY,
                paths=", ".join(PATHS),
            )
        )
        return settings_module.load(str(path))

    def start_instance(self, settings: settings_module.Settings) -> Instance:
        """Start one instance and put it on the instance list."""
        name, zone = settings.instance.name, settings.instance.zone
        self.list_row(name, "agent", str(settings.agent.listen), zone)
        self.list_row(
            f"{name}-entry", "entry", str(settings.entry.listen), zone
        )
        instance = Instance(
            settings,
            compose_agent.build_agent(settings),
            compose_entry.build_entry(settings),
        )
        instance.agent.start()
        instance.entry.start()
        self.instances.append(instance)
        return instance

    def list_row(
        self, name: str, role: instance_list.Role, address: str, zone: str
    ) -> None:
        """Put a row on the instance list, as the platform would."""
        row = instance_list.Registration(role, address, zone)
        self.list.put(name, row)

    def is_serving(self) -> bool:
        """Tell whether every agent knows configuration and engines."""
        agents = [instance.agent for instance in self.instances]
        return all(
            agent.configuration.offset() >= self.fold.offset
            and len(agent.orders.offers(MODEL)) == len(self.engines)
            for agent in agents
        )

    def caller(
        self, organisation: str = ORGANISATIONS[0], instance: int = 0
    ) -> caller.Caller:
        """Return a caller of an organisation at an instance's entry."""
        address = self.instances[instance].address
        return caller.Caller(address, token_of(organisation))


def token_of(organisation: str) -> str:
    """Return the bearer token of a test organisation."""
    return f"token-of-{organisation}"


def prompt_body(text: str, **changes: typing.Any) -> dict[str, typing.Any]:
    """Return a request for an answer, with defaults."""
    body = {
        "model": MODEL,
        "prompt": text,
        "max_tokens": 8,
        "deadline_ms": 10_000,
        "session": "session-1",
    }
    return {**body, **changes}
