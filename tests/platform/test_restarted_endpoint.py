"""An endpoint that starts again under its name is another one.

What is remembered of an endpoint (`THINGS`) by the way in which its restart
shows first (`WAYS`), in an instance that is wired as it serves.
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
from briarseam.discovery import restarts
from briarseam.discovery import starts
from briarseam.feeds import records
from briarseam.placement import loads
from briarseam.testing import waiting
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
PATIENCE_S = 15


class Case:
    """An instance that knows one engine; its threads are not started."""

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
        self.registry.take_all([self.entry()])

    def entry(self, **changes: object) -> records.KeyedRecord:
        """Return the engine's entry as it would write it now."""
        document = {
            "service": "engines",
            "address": self.worker.address,
            "zone": "hall-a",
            "slots": 8,
            "state": "ready",
            "models": [{"name": systems.MODEL, "version": 1}],
            **self.worker.told(),
            **changes,
        }
        return records.KeyedRecord(NAME, msgspec.json.encode(document))

    def id(self) -> str:
        """Return the start that requests would go to."""
        (endpoint,) = self.registry.serving("engines")
        return endpoint.id

    def connect(self) -> urllib3.connection.HTTPConnection:
        """Return an open connection that says nothing."""
        host, port = self.listener.getsockname()
        connection = urllib3.connection.HTTPConnection(host, port)
        connection.connect()
        return connection


@pytest.fixture
def case(cold_system):
    return Case(cold_system)


# What is remembered of an endpoint: how it comes to be known of a start, and
# whether it is.


@dataclasses.dataclass(frozen=True)
class Thing:
    note: typing.Callable[[compose.Node, str, Case], object]
    knows: typing.Callable[[compose.Node, str], bool]


def packed(*content: object) -> bytes:
    return msgpack.packb(content)


def row(endpoint: str) -> tuple:
    return (endpoint, *dataclasses.astuple(WORK))


def knows_weights(node, endpoint):
    return node.weights.board.version(endpoint, systems.MODEL, 0) == 7


def knows_work(node, endpoint):
    return node.chooser.loads.of(endpoint) != loads.NO_LOAD


def take_connection(node, endpoint):
    return node.pool.take_kept(endpoint, "127.0.0.1:1") is not None


THINGS = {
    "weights by a report": Thing(
        lambda node, id, case: node.weights.board.learn(id, systems.MODEL, 7),
        knows_weights,
    ),
    "weights by a peer": Thing(
        lambda node, id, case: node.weights.board.consume(
            "peer", packed([], [(id, systems.MODEL, 7)], [])
        ),
        knows_weights,
    ),
    "change of weights by a peer": Thing(
        lambda node, id, case: node.weights.board.consume(
            "peer", packed([id], [], [])
        ),
        lambda node, id: node.weights.board.is_changing(id),
    ),
    "prompts that it has read": Thing(
        lambda node, id, case: node.chooser.residency.note(id, SALT, PARTS, 0),
        lambda node, id: node.chooser.residency.known(id, SALT, PARTS) > 0,
    ),
    "own work": Thing(
        lambda node, id, case: node.chooser.loads.add(id, WORK), knows_work
    ),
    "work of a peer": Thing(
        lambda node, id, case: node.chooser.loads.consume(
            "peer", packed(row(id))
        ),
        knows_work,
    ),
    "work of a cell": Thing(
        lambda node, id, case: node.cell_loads.consume(
            "peer", packed(("far", 1, [row(id)]))
        ),
        knows_work,
    ),
    "being left alone": Thing(
        lambda node, id, case: node.chooser.avoid(id),
        lambda node, id: id in node.chooser.avoided,
    ),
    "kept connection": Thing(
        lambda node, id, case: node.pool.give_back(
            id, "127.0.0.1:1", case.connect(), "timeout=60"
        ),
        take_connection,
    ),
}
# These would stay for good under a start that is over; the others end by
# themselves, with a request, a peer's next word, or after some seconds.
LASTING = (
    "weights by a report",
    "weights by a peer",
    "prompts that it has read",
    "kept connection",
)


# How a restart shows first.


def by_entry(case):
    case.registry.take_changes([case.entry()])


def by_newest_entries(case):
    """The changes between are no longer kept, so all is read anew."""
    case.registry.take_all([case.entry()])


def by_entry_after_an_outage(case):
    """Its entry ran out while the store was away."""
    case.registry.store_lost()
    case.registry.take_changes([records.KeyedRecord(NAME, None)])
    case.registry.take_changes([case.entry()])


def by_report(case):
    client = case.node.weights.rollout.sources.engines
    with pytest.raises(orders.EngineUnavailableError):
        client.report(case.worker.address, OLD)


def by_peer(case):
    """A peer that gives orders has seen it in a report."""
    peer = registries.EndpointRegistry(case.registry.decode, lambda ids: None)
    peer.take_all([case.entry(born=OLD_BORN)])
    seen = restarts.Restarts(peer)
    seen.take(starts.Start(NAME, NEW_BORN))
    case.node.restarts.consume("peer", seen.provide())


WAYS = {
    "entry": by_entry,
    "newest entries": by_newest_entries,
    "entry after an outage": by_entry_after_an_outage,
    "report": by_report,
    "peer": by_peer,
}


def restart(case, way):
    case.worker.restart(NEW_BORN)
    WAYS[way](case)
    assert case.id() == NEW


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("thing", THINGS)
def test_new_start_is_known_for_nothing_of_the_one_before(case, thing, way):
    """An engine crashes and is back under its name within a second.

    Its entry never went missing.  Prompts go where nothing of them is held
    any more, and weights that it lost count as in place for good, since
    what was known by its name is still taken to be so.
    """
    about = THINGS[thing]
    about.note(case.node, OLD, case)
    assert case.id() == OLD
    restart(case, way)
    assert not about.knows(case.node, case.id())


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("thing", LASTING)
def test_nothing_stays_behind_of_a_start_that_is_over(case, thing, way):
    about = THINGS[thing]
    about.note(case.node, OLD, case)
    restart(case, way)
    assert not about.knows(case.node, OLD)


@pytest.mark.parametrize("thing", THINGS)
def test_word_of_an_earlier_start_that_comes_late_changes_nothing(case, thing):
    """A peer that has not heard of the restart yet tells what it knows, or
    an answer of the engine was still on its way when it died.
    """
    restart(case, "entry")
    about = THINGS[thing]
    about.note(case.node, OLD, case)
    assert not about.knows(case.node, case.id())


@pytest.mark.parametrize("thing", LASTING)
def test_late_word_of_an_earlier_start_is_not_kept_for_good(case, thing):
    """Engines restart all day, and an answer on its way is noted each
    time.  An instance that lives for weeks would run out of memory.
    """
    restart(case, "entry")
    about = THINGS[thing]
    about.note(case.node, OLD, case)
    case.node.forget_all_but(case.registry.ids())
    assert not about.knows(case.node, OLD)


@pytest.mark.parametrize("thing", LASTING)
def test_what_is_known_of_the_present_start_stays(case, thing):
    restart(case, "entry")
    about = THINGS[thing]
    about.note(case.node, NEW, case)
    case.node.forget_all_but(case.registry.ids())
    case.registry.take_changes([case.entry()])
    assert about.knows(case.node, case.id())


# News of an earlier start, by the way that it takes.


def late_entry(case):
    case.registry.take_changes(
        [case.entry(born=OLD_BORN, address="1.2.3.4:5")]
    )


def late_newest_entries(case):
    case.registry.take_all([case.entry(born=OLD_BORN, address="1.2.3.4:5")])


def late_report(case):
    case.worker.restart(OLD_BORN)
    client = case.node.weights.rollout.sources.engines
    with pytest.raises(orders.EngineUnavailableError):
        client.report(case.worker.address, NEW)


def late_peer(case):
    case.node.restarts.consume("peer", packed((NAME, OLD_BORN)))


@pytest.mark.parametrize(
    "late", [late_entry, late_newest_entries, late_report, late_peer]
)
@pytest.mark.parametrize("way", WAYS)
def test_news_of_an_earlier_start_changes_nothing(case, way, late):
    """An engine writes its entry and dies; the store takes the entry in
    seconds later, after that of the next start.

    Taken in, it would bring the dead start back, at its former address and
    with its weights, and all that is known of the living one would go.
    """
    restart(case, way)
    known = case.registry.all()
    for thing in LASTING:
        THINGS[thing].note(case.node, NEW, case)
    late(case)
    assert case.registry.all() == known
    assert [endpoint.versions for endpoint in case.registry.all()] == [
        endpoint.versions for endpoint in known
    ]
    for thing in LASTING:
        assert THINGS[thing].knows(case.node, NEW)


def test_late_entry_does_not_bring_a_start_back_that_another_followed(case):
    """The engine starts again and leaves; then the store takes in what its
    first start had written.
    """
    restart(case, "entry")
    case.registry.take_changes([records.KeyedRecord(NAME, None)])
    case.registry.take_changes([case.entry(born=OLD_BORN)])
    assert case.registry.all() == []


@pytest.mark.parametrize("way", ["report", "peer"])
def test_weights_of_a_start_are_unknown_until_it_tells_them(case, way):
    """A report shows that an engine has started again; its own entry comes
    a second later.  With the weights that its entry before named, prompts
    would be read under others than they name.
    """
    restart(case, way)
    (endpoint,) = case.registry.all()
    assert endpoint.versions == {systems.MODEL: 0}
    case.registry.take_changes([case.entry()])
    (endpoint,) = case.registry.all()
    assert endpoint.versions == {systems.MODEL: 1}


@pytest.mark.parametrize("way", ["report", "peer"])
def test_end_of_the_entry_before_does_not_end_the_new_start(case, way):
    """An engine dies, starts again, and answers a call before its entry is
    written; only then the store drops the entry of the start before.

    Taken to be gone, it would get no work though it is there, and what it
    has told of itself would be forgotten.
    """
    restart(case, way)
    case.node.weights.board.learn(NEW, systems.MODEL, 7)
    case.registry.take_changes([records.KeyedRecord(NAME, None)])
    assert case.id() == NEW
    assert knows_weights(case.node, NEW)


@pytest.mark.parametrize("way", WAYS)
def test_end_of_its_own_entry_ends_the_new_start(case, way):
    restart(case, way)
    case.registry.away_until_s = 0.0
    case.node.weights.board.learn(NEW, systems.MODEL, 7)
    case.registry.take_changes([case.entry()])
    case.registry.take_changes([records.KeyedRecord(NAME, None)])
    assert case.registry.serving("engines") == []
    assert not knows_weights(case.node, NEW)


@pytest.mark.parametrize("way", WAYS)
def test_entry_that_cannot_be_read_ends_the_new_start(case, way):
    """Another writer overwrites the engine's entry just after its restart.

    The entry names no endpoint any more, so nothing is known of one.
    """
    restart(case, way)
    case.node.weights.board.learn(NEW, systems.MODEL, 7)
    case.registry.take_changes([records.KeyedRecord(NAME, b"{")])
    assert case.registry.serving("engines") == []
    assert not knows_weights(case.node, NEW)


def test_entry_without_a_time_of_birth_is_no_restart(case):
    """An entry comes from a writer that does not know of births.

    What it says holds of the start that is there, and what is known of
    that stays known.
    """
    case.node.weights.board.learn(OLD, systems.MODEL, 7)
    case.worker.born = None
    case.registry.take_changes([case.entry(zone="hall-b")])
    assert case.id() == OLD
    assert case.registry.all()[0].zone == "hall-b"
    assert knows_weights(case.node, OLD)


def test_report_without_a_time_of_birth_is_taken(case):
    case.worker.born = None
    client = case.node.weights.rollout.sources.engines
    report = client.report(case.worker.address, OLD)
    assert report.versions == {systems.MODEL: 1}
    assert case.id() == OLD


def test_request_lost_with_each_start_of_an_endpoint_is_refused(case):
    """A request crashes an engine, which is back under its name after some
    seconds; its caller sends it again.  Counted by names it would be lost
    once, and take the engine down for as long as it is sent.
    """
    guard = case.node.guard
    for born_ms in (1, 2, 3):
        assert not guard.is_refused(b"digest")
        guard.note_lost(b"digest", starts.Start(NAME, born_ms).id)
    assert guard.is_refused(b"digest")


# The whole path.


@pytest.fixture
def born_system(cold_system):
    """A started instance with one engine that says when it was born."""
    worker = engines.Engine(NAME, systems.MODEL, 0.0, 0.0, OLD_BORN)
    cold_system.add(worker, "engines", weights=1)
    cold_system.configure()
    cold_system.start()
    return cold_system


def test_request_names_the_endpoint_as_the_platform_does(born_system):
    """Endpoints turn away what names another one; they know nothing of the
    ids by which instances tell their starts apart.
    """
    assert born_system.stream("/draft/x").status == 200
    headers = born_system.workers[NAME].headers_of()
    assert headers["expect-instance"] == NAME


def test_restart_that_a_peer_tells_is_taken_in(born_system):
    """Restarts are a section of heartbeats; unwired, peers would learn of
    one that a report showed a second later, from the engine's entry.
    """
    instances = born_system.node.instances
    waiting.until(lambda: instances.service is not None, PATIENCE_S)
    content = {"endpoint-starts": packed((NAME, NEW_BORN))}
    instances.service.sections.consume("peer", content)
    assert [item.id for item in born_system.node.feeds.registry.all()] == [NEW]


def test_late_word_is_swept_while_serving(born_system):
    """An answer was on its way when its engine died."""
    residency = born_system.node.chooser.residency
    residency.note(starts.Start(NAME, 1).id, SALT, PARTS, 0)
    waiting.until(lambda: not residency.held, PATIENCE_S)


def test_engine_that_is_back_with_its_first_weights_gets_the_newest(
    born_system,
):
    """Weights are put in place; then the engine crashes and is back within
    a second, with those that it began with.

    Known by its name, it would count as up to date for good.
    """
    worker = born_system.workers[NAME]
    goal = {"model": systems.MODEL, "version": 2}
    born_system.store.write("keyed.op", f"version/{systems.MODEL}", goal)
    waiting.until(lambda: worker.version == 2, PATIENCE_S)
    board = born_system.node.weights.board
    waiting.until(
        lambda: board.version(OLD, systems.MODEL, 0) == 2, PATIENCE_S
    )
    worker.restart(NEW_BORN)
    worker.version = 1
    born_system.write_entry(NAME, "engines", weights=1)
    waiting.until(lambda: worker.version == 2, PATIENCE_S)
