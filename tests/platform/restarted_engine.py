"""An engine that restarts, known to an instance with its real wiring.

`STATE_KINDS` are the kinds of state that an instance keeps for an endpoint,
`RESTART_SIGNALS` the ways in which it can detect a restart first.
"""

from __future__ import annotations

import dataclasses
import socket
import typing

import msgpack
import msgspec
import pytest
import urllib3.connection

from briarseam.compose import node as compose
from briarseam.discovery import registry as registries
from briarseam.discovery import start_updates
from briarseam.discovery import starts
from briarseam.feeds import records
from briarseam.placement import loads
from briarseam.weights import orders
from tests.platform import engine as engines
from tests.platform import system as systems

NAME = "engine-1"
OLD_BORN = 1_700_000_000_000
NEW_BORN = 1_700_000_007_500
OLD = starts.Start(NAME, OLD_BORN).id
NEW = starts.Start(NAME, NEW_BORN).id
SALT = "drafts/1/"
PARTS = [("aa", 600)]
WORK = loads.Load(requests=3, memory_tokens=1000)
TIMEOUT_S = 15


class Case:
    """An instance that knows one engine, without its threads."""

    def __init__(self, system) -> None:
        self.worker = system.stack.enter_context(
            engines.Engine(NAME, systems.MODEL, 0.0, 0.0, OLD_BORN)
        )
        self.listener = system.stack.enter_context(
            socket.create_server(("127.0.0.1", 0))
        )
        self.node = compose.Node(system.settings())
        system.stack.callback(self.node.pool.keep_only, ())
        self.registry = self.node.feeds.registry
        self.registry.apply_all([self.entry()])

    def entry(self, **changes: object) -> records.KeyedRecord:
        """Return the engine's current entry."""
        document = {
            "service": "engines",
            "address": self.worker.address,
            "zone": "hall-a",
            "slots": 8,
            "state": "ready",
            "models": [{"name": systems.MODEL, "version": 1}],
            **self.worker.start_fields(),
            **changes,
        }
        return records.KeyedRecord(NAME, msgspec.json.encode(document))

    def id(self) -> str:
        """Return the id of the start that requests would be sent to."""
        (endpoint,) = self.registry.serving("engines")
        return endpoint.id

    def connect(self) -> urllib3.connection.HTTPConnection:
        """Return an open, silent connection."""
        host, port = self.listener.getsockname()
        connection = urllib3.connection.HTTPConnection(host, port)
        connection.connect()
        return connection


@dataclasses.dataclass(frozen=True)
class StateKind:
    """State of an endpoint: how it is recorded, and whether it is known."""

    record: typing.Callable[[compose.Node, str, Case], object]
    is_known: typing.Callable[[compose.Node, str], bool]


def loads_of_peer(endpoint: str) -> bytes:
    """Return the section of a peer with work at one endpoint."""
    peer = loads.Loads()
    peer.add(endpoint, WORK)
    return peer.provide()


def packed(*content: object) -> bytes:
    return msgpack.packb(content)


def row(endpoint: str) -> tuple:
    return (endpoint, *dataclasses.astuple(WORK))


def knows_weights(node, endpoint):
    return node.weights.known_weights.version(endpoint, systems.MODEL, 0) == 7


def knows_work(node, endpoint):
    return node.chooser.loads.of(endpoint) != loads.NO_LOAD


def take_connection(node, endpoint):
    return node.pool.acquire_idle(endpoint, "127.0.0.1:1") is not None


STATE_KINDS = {
    "weights by a report": StateKind(
        lambda node, id, case: node.weights.known_weights.record_version(
            id, systems.MODEL, 7
        ),
        knows_weights,
    ),
    "weights by a peer": StateKind(
        lambda node, id, case: node.weights.known_weights.consume(
            "peer", packed([], [(id, systems.MODEL, 7)], [])
        ),
        knows_weights,
    ),
    "change of weights by a peer": StateKind(
        lambda node, id, case: node.weights.known_weights.consume(
            "peer", packed([id], [], [])
        ),
        lambda node, id: node.weights.known_weights.is_changing(id),
    ),
    "prompts in its cache": StateKind(
        lambda node, id, case: node.chooser.residency.record(
            id, SALT, PARTS, 0
        ),
        lambda node, id: (
            node.chooser.residency.held_tokens(id, SALT, PARTS) > 0
        ),
    ),
    "own work": StateKind(
        lambda node, id, case: node.chooser.loads.add(id, WORK), knows_work
    ),
    "work of a peer": StateKind(
        lambda node, id, case: node.chooser.loads.consume(
            "peer", loads_of_peer(id)
        ),
        knows_work,
    ),
    "work of a cell": StateKind(
        lambda node, id, case: node.cell_loads.consume(
            "peer", packed(("far", 1, [row(id)]))
        ),
        knows_work,
    ),
    "avoidance after a failure": StateKind(
        lambda node, id, case: node.chooser.avoided.add(id),
        lambda node, id: id in node.chooser.avoided,
    ),
    "kept connection": StateKind(
        lambda node, id, case: node.pool.release(
            id, "127.0.0.1:1", case.connect(), "timeout=60"
        ),
        take_connection,
    ),
}
# State that would stay forever under the id of a former start.  The other
# kinds end with a request, with a peer's next update, or within seconds.
PERSISTENT_STATE = (
    "weights by a report",
    "weights by a peer",
    "prompts in its cache",
    "kept connection",
)


def by_entry(case):
    case.registry.apply_changes([case.entry()])


def by_newest_entries(case):
    """Intermediate changes have expired, so all entries are read again."""
    case.registry.apply_all([case.entry()])


def by_entry_after_an_outage(case):
    """The engine's entry expired while the store was unavailable."""
    case.registry.store_lost()
    case.registry.apply_changes([records.KeyedRecord(NAME, None)])
    case.registry.apply_changes([case.entry()])


def by_report(case):
    client = case.node.weights.rollout.sources.engines
    with pytest.raises(orders.EngineUnavailableError):
        client.report(case.worker.address, OLD)


def by_peer(case):
    """A peer that gives orders has seen the new start in a report."""
    peer = registries.EndpointRegistry(case.registry.decode, lambda ids: None)
    peer.apply_all([case.entry(born=OLD_BORN)])
    seen = start_updates.StartUpdates(peer.apply_start)
    seen.record(starts.Start(NAME, NEW_BORN))
    case.node.restarts.consume("peer", seen.provide())


RESTART_SIGNALS = {
    "entry": by_entry,
    "newest entries": by_newest_entries,
    "entry after an outage": by_entry_after_an_outage,
    "report": by_report,
    "peer": by_peer,
}


def restart(case, signal):
    case.worker.restart(NEW_BORN)
    RESTART_SIGNALS[signal](case)
    assert case.id() == NEW
