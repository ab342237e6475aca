"""Requests that crash the endpoints that run them, with real connections."""

from __future__ import annotations

import concurrent.futures
import time

import pytest
import structlog.testing

from briarseam.crashes import loss_decisions
from briarseam.crashes import suspicion
from briarseam.testing import waiting
from tests.platform import crashing_endpoints
from tests.platform import instances
from tests.platform import system as systems

TIMEOUT_S = 10
WAVES = 4
# Between the return of the endpoints and the next repeat.
PAUSE_S = 0.3
LIMIT = suspicion.LOST_ENDPOINTS_LIMIT


@pytest.fixture(params=[False, True], ids=["new-names", "same-names"])
def fleet(request, cold_system):
    """Three endpoints of a service without others."""
    return crashing_endpoints.Fleet(cold_system, LIMIT, request.param)


@pytest.fixture
def nodes(cold_system, fleet):
    """Two instances that know the endpoints."""
    cold_system.configure()
    cold_system.start()
    return instances.start_others(cold_system, 1)


def is_cut_off(node):
    return node.reachability.is_cut_off(crashing_endpoints.SERVICE)


def test_request_that_crashes_all_endpoints_at_once_is_refused(
    cold_system, fleet, nodes
):
    """Guards against a dead service that is taken for a lost path."""
    statuses = []
    for wave in range(WAVES):
        for number in range(2 * LIMIT):
            node = nodes[(wave + number) % len(nodes)]
            statuses.append(crashing_endpoints.send(cold_system, node))
        if wave == 0:
            assert len(fleet.crashed()) == LIMIT
            waiting.until(lambda: all(map(is_cut_off, nodes)), TIMEOUT_S)
        fleet.restart_crashed()
        fleet.await_known(nodes)
        time.sleep(PAUSE_S)
    assert len(fleet.crashed()) == LIMIT
    assert set(statuses[-2 * LIMIT :]) == {503}


def test_repeated_request_is_served_after_another_crashed_the_service(
    cold_system, fleet, nodes
):
    """Guards against condemning what was under way beside the cause."""
    for node in nodes:
        assert crashing_endpoints.send(cold_system, node, "/status/1") == 200
    for worker in fleet.running:
        worker.set(hold=True)
    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        innocent = [
            pool.submit(
                crashing_endpoints.send,
                cold_system,
                nodes[number % len(nodes)],
                "/status/1",
            )
            for number in range(12)
        ]
        waiting.until(lambda: all(one.ran for one in fleet.running), TIMEOUT_S)
        while len(fleet.crashed()) < LIMIT:
            crashing_endpoints.send(cold_system, nodes[0])
        assert 502 in {one.result() for one in innocent}
    fleet.restart_crashed()
    fleet.await_known(nodes)
    time.sleep(PAUSE_S)
    for node in nodes:
        assert crashing_endpoints.send(cold_system, node, "/status/1") == 200
        assert crashing_endpoints.send(cold_system, node) == 503


def test_request_condemned_while_it_waits_is_not_sent(system, monkeypatch):
    """Guards against sending what was condemned after it had arrived."""
    node = system.node
    choose = node.chooser.choose

    def learn_of_losses(request):
        [context] = node.forwarding.active_requests.contexts.values()
        for name in ("e1", "e2", "e3"):
            node.crashes.counts.add_loss(context.crash_state.digest, name)
        return choose(request)

    monkeypatch.setattr(node.chooser, "choose", learn_of_losses)
    answer = system.call("/status/1", "GET")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert system.workers["plain-1"].arrived == []
    assert system.workers["plain-2"].arrived == []


def held_at(node):
    """Return the number of endpoints whose losses an instance holds."""
    held = loss_decisions.Decision.HELD
    pending = node.losses.pending
    return len({one.endpoint.id for one in pending if one.decision is held})


def test_suspect_is_refused_for_a_short_time(cold_system, fleet, nodes):
    """Guards against a loss that counts for nothing until it is decided."""
    node = nodes[0]
    while len(fleet.crashed()) < LIMIT:
        crashing_endpoints.send(cold_system, node)
    waiting.until(lambda: is_cut_off(node), TIMEOUT_S)
    waiting.until(lambda: held_at(node) == LIMIT, TIMEOUT_S)
    fleet.start("portal-new", "127.0.0.1:0")
    waiting.until(lambda: not is_cut_off(node), TIMEOUT_S)
    assert crashing_endpoints.send(cold_system, node) == 503
    assert crashing_endpoints.send(cold_system, node, "/status/1") == 200
    assert len(fleet.crashed()) == LIMIT


def test_lost_request_is_logged_with_what_its_prompt_shares(system):
    """Guards against losses whose common part no log line tells."""
    for name in ("engine-1", "engine-2"):
        system.workers[name].set(reset=1)
    with structlog.testing.capture_logs() as lines:
        assert system.stream("/draft/once/x").status == 502
    [lost] = [line for line in lines if line["event"] == "request_lost"]
    prompt = systems.PROMPT["Prefix_Hash"]
    assert lost["shared_parts"] == [prompt.partition(":")[0]]
    assert lost["endpoint"] in ("engine-1", "engine-2")
    assert not lost["events_sent"]
