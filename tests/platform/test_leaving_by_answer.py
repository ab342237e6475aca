"""Requests of instances to endpoints whose answers say that they leave."""

from __future__ import annotations

import itertools
import json

import pytest
import urllib3.exceptions

from briarseam.testing import waiting
from tests.platform import worker as workers

REQUESTS = 12
TIMEOUT_S = 10


def call(system, number=0):
    return system.call(f"/status/{number}", "GET").status


def arrivals(system, *names):
    return sum(len(system.workers[name].arrived) for name in names)


@pytest.mark.parametrize("kind", ["call", "prompt"])
def test_endpoint_that_leaves_by_its_answers_gets_no_more(system, kind):
    """Guards against an entry that says ready while the store is away."""
    names = {
        "call": ("plain-1", "plain-2"),
        "prompt": ("engine-1", "engine-2"),
    }[kind]
    send = {
        "call": lambda number: call(system, number),
        "prompt": lambda number: (
            system.stream("/draft/x", Prefix_Hash=f"a{number}:1000").status
        ),
    }[kind]
    system.store.set(outage=True)
    leaving = system.workers[names[0]]
    leaving.set(leaving=True)
    statuses = [send(number) for number in range(REQUESTS)]
    assert set(statuses) == {200}
    assert len(leaving.arrived) == 1
    assert arrivals(system, names[1]) == REQUESTS - 1


def prompt(system, number=0):
    parts = f"a{number}:1000"
    return system.stream("/draft/x", Prefix_Hash=parts).status


def leave(system, *names):
    """Let endpoints say that they leave, and the instance hear it."""
    for name in names:
        system.workers[name].set(leaving=True)
    for number in itertools.count():
        if listed_as_leaving(system, names):
            return
        call(system, number)
        prompt(system, number)


def listed_as_leaving(system, names):
    leaving = {
        one.id for one in system.node.feeds.registry.all() if one.leaving
    }
    return leaving >= set(names)


def test_requests_are_refused_at_once_if_all_endpoints_leave(system):
    leave(system, "plain-1", "plain-2")
    before = arrivals(system, "plain-1", "plain-2")
    answer = system.call("/submit/x")
    assert answer.status == 503
    assert json.loads(answer.data)["ran"] == "no"
    assert float(answer.headers["Retry-After"]) > 0
    assert arrivals(system, "plain-1", "plain-2") == before


def test_retry_does_not_go_to_an_endpoint_that_leaves(system):
    leave(system, "plain-1")
    before = arrivals(system, "plain-1")
    system.workers["plain-2"].set(reject=1)
    assert call(system) == 503
    assert arrivals(system, "plain-1") == before


def test_broken_stream_is_not_resumed_at_an_endpoint_that_leaves(system):
    leave(system, "engine-1")
    before = arrivals(system, "engine-1")
    system.workers["engine-2"].set(break_streams=1)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        prompt(system)
    assert arrivals(system, "engine-1") == before


def test_stream_under_way_at_an_endpoint_that_leaves_is_finished(system):
    engine = system.workers["engine-1"]
    system.workers["engine-2"].set(leaving=True)
    leave(system, "engine-2")
    engine.set(pause_ms=200, leaving=True)
    answer = system.stream("/draft/x")
    assert answer.status == 200
    assert answer.data.count(b"data:") == engine.switches.events


def test_entry_that_says_leaving_needs_no_answer_that_does(system):
    system.write_entry("plain-1", "portal", state="draining")
    waiting.until(lambda: listed_as_leaving(system, ["plain-1"]), TIMEOUT_S)
    before = arrivals(system, "plain-1")
    assert {call(system, number) for number in range(REQUESTS)} == {200}
    assert arrivals(system, "plain-1") == before


def test_entry_that_says_ready_does_not_bring_it_back(system):
    leave(system, "plain-1")
    before = arrivals(system, "plain-1")
    system.workers["plain-1"].set(leaving=False)
    system.write_entry("plain-1", "portal", slots=9)
    waiting.until(
        lambda: any(
            one.id == "plain-1" and one.slots == 9
            for one in system.node.feeds.registry.all()
        ),
        TIMEOUT_S,
    )
    assert {call(system, number) for number in range(REQUESTS)} == {200}
    assert arrivals(system, "plain-1") == before


def test_new_start_under_the_same_id_gets_requests(system):
    worker = system.add(workers.Worker("plain-3", born=1000), "portal")
    waiting.until(
        lambda: len(system.node.feeds.registry.all()) == 5, TIMEOUT_S
    )
    leave(system, "plain-1", "plain-2")
    worker.set(leaving=True)
    assert call(system) == 200
    assert call(system) == 503
    worker.set(leaving=False)
    worker.restart(born=2000)
    system.write_entry("plain-3", "portal")
    waiting.until(lambda: call(system) == 200, TIMEOUT_S)


def test_answer_of_another_endpoint_at_the_address_does_not_count(system):
    """Guards against a leaving endpoint that took over another's address."""
    worker = system.workers["plain-1"]
    worker.id = "another"
    worker.set(leaving=True)
    for number in range(REQUESTS):
        call(system, number)
    assert not listed_as_leaving(system, ["plain-1"])


def test_peers_hear_that_an_endpoint_leaves(system):
    """Guards against each instance losing a request to learn it."""
    other = system.launch_another("other")
    waiting.until(
        lambda: other.is_ready() and len(other.instances.all()) == 2,
        TIMEOUT_S,
    )
    system.store.set(outage=True)
    leave(system, "plain-1")
    waiting.until(
        lambda: (
            not any(
                one.id == "plain-1"
                for one in other.feeds.registry.serving("portal")
            )
        ),
        TIMEOUT_S,
    )
