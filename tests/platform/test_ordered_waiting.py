"""Requests that wait in the queue of a whole instance."""

from __future__ import annotations

import concurrent.futures
import contextlib
import socket
import time

import pytest

from briarseam.testing import waiting
from tests.platform import instances
from tests.platform import raw_caller
from tests.platform import system as systems

TIMEOUT_S = 10
TARGET_MS = 400
# Longer than the quarter of the target for which requests wait without the
# queue.
HELD_S = 0.5
ROUTES = [
    {
        "name": name,
        "host": systems.HOST,
        "pathPrefix": f"/{name}/",
        "kind": "stream",
        "timeoutMs": 5000,
        "targetLatencyMs": TARGET_MS,
        "service": "engines",
        "maxAttempts": 2,
        "sticky": True,
        "priority": priority,
    }
    for name, priority in (("urgent", 0), ("low", 5))
]


@contextlib.contextmanager
def started(folder, **load):
    """An instance with one engine that has one slot."""
    system = systems.System(folder)
    system.load = load
    try:
        worker = system.add_worker("engine-1", "engines", slots=1)
        system.configure(routes=ROUTES)
        system.start()
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            yield system, worker, pool
    finally:
        system.close()


def queued(system):
    return sum(map(len, system.node.waiting.queues.values()))


def await_queued(system, count):
    waiting.until(lambda: queued(system) == count, TIMEOUT_S)


def occupy(system, worker, pool):
    """Send a request that keeps the only slot."""
    worker.set(hold=True)
    first = pool.submit(system.stream, "/low/first")
    waiting.until(lambda: worker.running == 1, TIMEOUT_S)
    return first


def test_request_waits_until_there_is_capacity(tmp_path):
    """Guards against refusals of requests that could be answered."""
    with started(tmp_path, ordered_waiting=True) as (system, worker, pool):
        first = occupy(system, worker, pool)
        second = pool.submit(system.stream, "/low/second")
        await_queued(system, 1)
        time.sleep(HELD_S)
        worker.set(hold=False)
        assert first.result(TIMEOUT_S).status == 200
        assert second.result(TIMEOUT_S).status == 200
        waiting.until(lambda: not system.node.chooser.loads.own, TIMEOUT_S)
        page = system.http.request("GET", system.url("metrics", "/metrics"))
        assert b'queue_ends_total{end="granted"} 1' in page.data


def test_without_the_queue_it_is_refused_soon(tmp_path):
    """Guards against a switch that changes what it must not."""
    with started(tmp_path) as (system, worker, pool):
        assert system.node.waiting is None
        first = occupy(system, worker, pool)
        began_s = time.monotonic()
        second = system.stream("/low/second")
        assert second.status == 503
        assert second.headers["Retry-After"] == "0.300"
        assert time.monotonic() - began_s < HELD_S
        worker.set(hold=False)
        assert first.result(TIMEOUT_S).status == 200


def test_urgent_request_goes_first(tmp_path):
    """Guards against priorities that are lost on the way to the queue."""
    with started(tmp_path, ordered_waiting=True) as (system, worker, pool):
        first = occupy(system, worker, pool)
        low = pool.submit(system.stream, "/low/x")
        await_queued(system, 1)
        urgent = pool.submit(system.stream, "/urgent/x")
        await_queued(system, 2)
        worker.set(hold=False)
        for one in (first, low, urgent):
            assert one.result(TIMEOUT_S).status == 200
        paths = [request.path for request in worker.addressed]
        assert paths == [("low", "first"), ("urgent", "x"), ("low", "x")]


def test_hopeless_request_is_refused_as_not_run(tmp_path):
    """Guards against a caller who is held until the deadline has passed."""
    with started(tmp_path, ordered_waiting=True) as (system, worker, pool):
        first = occupy(system, worker, pool)
        system.node.waiting.record_answer("engines", 2.0)
        began_s = time.monotonic()
        answer = system.stream("/low/x", Deadline_Ms="1500")
        assert answer.status == 503
        assert answer.json()["ran"] == "no"
        assert float(answer.headers["Retry-After"]) >= 0.3
        assert time.monotonic() - began_s < 1.0
        worker.set(hold=False)
        assert first.result(TIMEOUT_S).status == 200


def test_caller_who_leaves_frees_its_place(tmp_path):
    """Guards against capacity that a gone caller gets."""
    with started(tmp_path, ordered_waiting=True) as (system, worker, pool):
        first = occupy(system, worker, pool)
        listen = system.node.settings.listen.callers
        headers = systems.callers_headers(systems.KEY, systems.PROMPT)
        sent = raw_caller.request_bytes(
            "POST", "/low/gone", headers, "1.1", b"{}"
        )
        with socket.create_connection((listen.ip, listen.port)) as caller:
            caller.sendall(sent)
            await_queued(system, 1)
        await_queued(system, 0)
        worker.set(hold=False)
        assert first.result(TIMEOUT_S).status == 200
        assert len(worker.addressed) == 1


@pytest.mark.parametrize(
    ("load", "refused"),
    [({"queue_requests": 1}, 1), ({"queue_bytes": 3}, 1)],
)
def test_last_request_is_refused_beyond_the_limits(tmp_path, load, refused):
    """Guards against limits of the settings that aren't in force."""
    settings = {"ordered_waiting": True} | load
    with started(tmp_path, **settings) as (system, worker, pool):
        first = occupy(system, worker, pool)
        low = pool.submit(system.stream, "/low/x")
        await_queued(system, 1)
        urgent = pool.submit(system.stream, "/urgent/x")
        assert low.result(TIMEOUT_S).status == 503
        worker.set(hold=False)
        assert first.result(TIMEOUT_S).status == 200
        assert urgent.result(TIMEOUT_S).status == 200


def test_other_instances_know_of_the_waiting_requests(tmp_path):
    """Guards against shares of an instance that doesn't hear of others."""
    with started(tmp_path, ordered_waiting=True) as (system, worker, pool):
        (other,) = instances.start_others(system, 1)[1:]
        known = other.chooser.loads.waiting_at_peers
        first = occupy(system, worker, pool)
        second = pool.submit(system.stream, "/low/second")
        waiting.until(lambda: known("engines") == 1, TIMEOUT_S)
        worker.set(hold=False)
        assert first.result(TIMEOUT_S).status == 200
        assert second.result(TIMEOUT_S).status == 200
        waiting.until(lambda: known("engines") == 0, TIMEOUT_S)
