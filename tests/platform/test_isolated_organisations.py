"""Cached parts of prompts while organisations become isolated."""

from __future__ import annotations

import threading
import time

import pytest

from briarseam import clocks
from briarseam.compose import node_peers
from briarseam.placement import fetch_leases
from briarseam.testing import http_messages
from briarseam.testing import waiting
from tests.platform import caching_engine
from tests.platform import isolation_case
from tests.platform import partition
from tests.platform.isolation_case import Step

CHAIN = ("chain",)
BOTH = ("chain", "inspectors")
APPLY_S = 2.0
# Nothing listens there.
NOBODY = "127.0.0.1:1"
SERIES = {
    "becomes isolated": [Step(), Step(CHAIN)],
    "a second one becomes isolated": [Step(CHAIN), Step(BOTH)],
    "one in place of another, and back": [
        Step(CHAIN),
        Step(("inspectors",)),
        Step(CHAIN),
    ],
    "shared again and isolated again": [
        Step(),
        Step(CHAIN),
        Step(),
        Step(CHAIN),
        Step(),
    ],
    "loses its keys at the same change": [Step(), Step(CHAIN, keyless=CHAIN)],
    "loses its keys and gets them back": [
        Step(),
        Step(CHAIN),
        Step(CHAIN, keyless=CHAIN),
        Step(CHAIN),
    ],
    "is removed and comes back shared": [
        Step(CHAIN),
        Step(removed=CHAIN),
        Step(),
        Step(CHAIN),
    ],
    "all instances replaced": [Step(), Step(CHAIN, restart=True)],
    "all replaced while it is shared again": [
        Step(),
        Step(CHAIN),
        Step(restart=True),
        Step(CHAIN, restart=True),
    ],
    "beside new weights": [Step(), Step(CHAIN, weights=2), Step(weights=3)],
}


@pytest.fixture
def case(cold_system, monkeypatch):
    """Instances that fetch stored parts as soon as they have started."""
    monkeypatch.setattr(fetch_leases, "START_WAIT_S", 0.0)
    return isolation_case.Case(cold_system)


@pytest.mark.parametrize("engine_forgets", [False, True])
@pytest.mark.parametrize("series", SERIES.values(), ids=SERIES.keys())
def test_no_part_crosses_the_wall_of_an_organisation(
    case, series, engine_forgets
):
    """Guards against KV cache of an organisation that becomes isolated.

    An engine that forgets has to fetch the parts from a store.
    """
    for step in series:
        if engine_forgets:
            case.cache.clear()
        case.play(step)
    assert case.crossings() == []
    assert caching_engine.foreign_weights(case.uses) == []


@pytest.mark.parametrize(
    "before, after",
    [
        pytest.param(Step(), Step(), id="none isolated"),
        pytest.param(Step(CHAIN), Step(CHAIN), id="none new"),
        pytest.param(Step(CHAIN), Step(), id="shared again"),
        pytest.param(Step(BOTH), Step(CHAIN), id="one of two shared again"),
        pytest.param(
            Step(CHAIN), Step(CHAIN, keyless=CHAIN), id="keys revoked"
        ),
        pytest.param(Step(CHAIN), Step(removed=CHAIN), id="removed"),
        pytest.param(
            Step(), Step(keyless=("kitchens",)), id="keys of another revoked"
        ),
    ],
)
@pytest.mark.parametrize("engine_forgets", [False, True])
def test_change_that_isolates_nobody_new_keeps_cached_parts(
    case, before, after, engine_forgets
):
    """Guards against prompts that are computed again after each change."""
    case.play(before)
    if engine_forgets:
        case.cache.clear()
    served = case.play(after)
    for calls in served.values():
        assert all(case.used_shared(call) for call in calls)


def test_organisations_that_stay_shared_go_on_sharing(case):
    case.play(Step())
    served = case.play(Step(CHAIN))
    (first, *others) = [*served["inspectors"], *served["kitchens"]]
    assert not case.used_shared(first)
    assert all(case.used_shared(call) for call in others)


def test_former_isolation_is_learned_from_peers(case):
    """Guards against a replaced instance that shares with nobody."""
    case.play(Step(CHAIN))
    case.play(Step())
    node = case.system.launch_another("late")
    waiting.until(
        lambda: (
            node.is_ready()
            and node.chooser.sharing.division.former == {"chain"}
            and node.feeds.registry.all()
        ),
        isolation_case.TIMEOUT_S,
    )
    assert case.used_shared(case.send("kitchens", node))


def once(action):
    """Return a function that does something when it is first called."""
    pending = [action]

    def act():
        if pending:
            pending.pop()()

    return act


def test_request_that_connects_across_the_change_is_placed_anew(
    case, monkeypatch
):
    """Guards against a send with the salt of before the change."""
    case.play(Step())
    node = case.nodes[0]
    acquire = node.pool.acquire
    change = once(lambda: case.apply(Step(CHAIN)))

    def acquire_late(*target):
        connection = acquire(*target)
        change()
        return connection

    monkeypatch.setattr(node.pool, "acquire", acquire_late)
    call = case.send("kitchens", node)
    assert case.crossings() == []
    assert case.ran(call) == 1


@pytest.mark.parametrize("organisation", ["chain", "kitchens"])
def test_request_that_is_repeated_after_the_change(
    case, monkeypatch, organisation
):
    """Guards against the configuration at the arrival of a request."""
    case.play(Step())
    engine = case.system.workers["engine-1"]
    run = engine.run
    change = once(lambda: case.apply(Step(CHAIN)))

    def run_and_change(request, call, echo):
        case.cache.run(request)
        change()
        raise http_messages.Dropped

    case.add_engine("engine-2")
    monkeypatch.setattr(engine, "run", run_and_change)
    call = case.send(organisation, case.nodes[0])
    monkeypatch.setattr(engine, "run", run)
    assert case.crossings() == []
    assert case.ran(call) == 2


@pytest.mark.parametrize("organisation", ["chain", "kitchens"])
def test_request_that_another_instance_relays_after_the_change(
    case, organisation
):
    case.play(Step())
    case.apply(Step(CHAIN))
    with partition.from_endpoints(case.nodes[0]):
        call = case.send(organisation, case.nodes[0])
        assert case.ran(call) == 1
    assert case.crossings() == []


def test_stored_parts_that_nobody_can_use_are_freed(case, monkeypatch):
    """Guards against a store that fills up with former groups' parts."""
    monkeypatch.setattr(fetch_leases, "MAX_LEASE_S", 3.0)
    monkeypatch.setattr(fetch_leases, "FETCH_LIMIT_S", 0.5)
    monkeypatch.setattr(fetch_leases, "CLOCK_SLACK_S", 0.0)
    case.play(Step())
    former = set(case.store.held)
    case.play(Step(CHAIN))
    waiting.until(
        lambda: former == set(case.store.freed), isolation_case.TIMEOUT_S
    )
    assert case.store.held


def test_suspended_instance_shares_nothing_before_it_reads_the_change(
    case, monkeypatch
):
    """Guards against the configuration of before a suspension."""
    case.play(Step())
    node = case.nodes[0]
    resume = threading.Event()
    read = node.feeds.operators.apply_changes

    def read_late(changes):
        resume.wait(isolation_case.TIMEOUT_S)
        read(changes)

    # The threads of a suspended process stand still, those of peers do not.
    monkeypatch.setattr(node.feeds.operators, "apply_changes", read_late)
    monkeypatch.setattr(node.chooser.sharing, "consume", lambda *told: None)
    node.suspension.stop()
    before_s = clocks.boot_clock() - 3.0
    node.suspension.ticked_s = before_s
    case.configure(Step(CHAIN))
    case.isolation.record(CHAIN)
    for organisation in ("chain", "kitchens"):
        case.send(organisation, node)
    assert case.crossings() == []
    resume.set()
    node.suspension.tick()


@pytest.fixture
def lone(case, monkeypatch):
    """Return an instance that has not met its peers."""
    with monkeypatch.context() as patched:
        patched.setattr(node_peers, "join", lambda *parts: None)
        node = case.system.launch_another("lone")
        waiting.until(
            lambda: node.is_ready() and node.feeds.registry.all(),
            isolation_case.TIMEOUT_S,
        )
    return node


def lose_store(node):
    """Let the store be out of reach of one instance."""
    node.store.move_to(NOBODY)
    operators = node.feeds.followers[0]
    waiting.until(lambda: not operators.available, isolation_case.TIMEOUT_S)


def test_instance_without_store_and_peers_shares_nothing_once_a_change_is_due(
    case, lone
):
    """Guards against an instance that has just started and is cut off."""
    case.play(Step())
    lose_store(lone)
    case.configure(Step(CHAIN))
    time.sleep(APPLY_S)
    case.isolation.record(CHAIN)
    for organisation in ("chain", "kitchens"):
        case.send(organisation, lone)
    assert case.crossings() == []


def test_instance_that_starts_with_a_restored_store_shares_nothing_at_first(
    case, monkeypatch
):
    """Guards against a change that the store has lost and only peers know."""
    case.play(Step())
    backup = case.system.store.copy()
    case.apply(Step(CHAIN))
    case.system.store.restore(backup)
    met = threading.Event()
    join = node_peers.join

    def join_late(*parts):
        met.wait(isolation_case.TIMEOUT_S)
        return join(*parts)

    monkeypatch.setattr(node_peers, "join", join_late)
    node = case.system.launch_another("late")
    waiting.until(
        lambda: node.is_ready() and node.feeds.registry.all(),
        isolation_case.TIMEOUT_S,
    )
    for organisation in ("chain", "kitchens"):
        case.send(organisation, node)
    assert case.crossings() == []
    met.set()
    waiting.until(
        lambda: "chain" in node.chooser.sharing.division.separate,
        isolation_case.TIMEOUT_S,
    )


def test_instance_without_peers_goes_on_sharing(case, lone):
    """Guards against prompts that are computed again between two polls."""
    case.play(Step())
    waiting.until(lone.freshness.is_fresh, isolation_case.TIMEOUT_S)
    # What it shares from now on was computed before.
    case.send("kitchens", lone)
    ends_s = time.monotonic() + 2 * APPLY_S
    while time.monotonic() < ends_s:
        assert case.used_shared(case.send("kitchens", lone))
        time.sleep(0.1)


def test_instance_that_only_its_peers_tell_goes_on_sharing(case):
    """Guards against prompts computed again where the store is cut off."""
    case.play(Step())
    node = case.nodes[0]
    lose_store(node)
    ends_s = time.monotonic() + 2 * APPLY_S
    while time.monotonic() < ends_s:
        assert case.used_shared(case.send("kitchens", node))
        time.sleep(0.1)


def test_instances_share_again_after_an_outage_of_the_store(case):
    """Guards against prompts computed again after each outage."""
    case.play(Step())
    case.system.store.set(outage=True)
    waiting.until(
        lambda: not any(node.freshness.is_fresh() for node in case.nodes),
        isolation_case.TIMEOUT_S,
    )
    case.system.store.set(outage=False)
    waiting.until(
        lambda: all(node.freshness.is_fresh() for node in case.nodes),
        isolation_case.TIMEOUT_S,
    )
    for node in case.nodes:
        assert case.used_shared(case.send("kitchens", node))
