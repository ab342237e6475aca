"""How requests enter the queue, and what they get from it."""

from __future__ import annotations

import socket
import types

import pytest

from briarseam import clocks
from briarseam import verdict
from briarseam.compose import node_metrics
from briarseam.forwarding import ordered_waiting
from briarseam.forwarding import request_context
from briarseam.forwarding import service
from briarseam.forwarding import supervision
from briarseam.metrics import registry
from briarseam.placement import loads
from briarseam.placement import requests
from briarseam.queueing import service as queueing
from briarseam.routes import model as routes
from briarseam.routes import table as tables
from tests.placement import test_chooser

TARGET_S = 0.8
TIMEOUT_S = 3.0
FULL = loads.Load(requests=8)


@pytest.fixture
def caller():
    local, remote = socket.socketpair()
    with local, remote:
        yield local


@pytest.fixture
def case():
    return test_chooser.Case(engines=1)


@pytest.fixture
def queue(case):
    limits = queueing.Limits(16, 2**20)
    metrics = node_metrics.queue_metrics(registry.Registry())
    queue = queueing.WaitingQueue(limits, case.chooser.loads, metrics)
    queue.start()
    yield queue
    queue.stop()


def context_of(case, local, timeout_s=TIMEOUT_S, **changes):
    request = case.request()
    now_s = clocks.boot_clock()
    fields = {
        "exchange": types.SimpleNamespace(relayed=False),
        "call": request.call,
        "body": b"body",
        "route": request.route,
        "service": request.service,
        "caller": tables.KnownCaller(routes.Organisation("north")),
        "configuration": 1,
        "watch": supervision.Watch(local, now_s + timeout_s),
        "crash_state": None,
        "arrived_s": now_s,
    }
    return request_context.Context(**fields | changes)


def waiter_of(context):
    return ordered_waiting.waiter_of(context, clocks.boot_clock())


def test_waiter_describes_the_request(case, caller):
    context = context_of(case, caller)
    waiter = waiter_of(context)
    assert waiter.priority == 2
    assert waiter.organisation == "north"
    assert waiter.work == 1000
    assert waiter.body_bytes == 4
    assert waiter.target_s == pytest.approx(context.arrived_s + TARGET_S)
    assert waiter.deadline_s == context.watch.deadline_s
    assert not waiter.resumed


def test_priority_of_the_organisation_goes_before_the_route(case, caller):
    known = tables.KnownCaller(routes.Organisation("north", priority=7))
    assert waiter_of(context_of(case, caller, caller=known)).priority == 7


def test_retried_request_and_partly_answered_stream_are_resumed(case, caller):
    assert waiter_of(context_of(case, caller, sends=1)).resumed
    context = context_of(case, caller)
    context.progress.events_sent = True
    assert waiter_of(context).resumed


def test_load_of_a_placed_request_is_counted_once(case, caller, queue):
    """Guards against requests of one round that don't see each other, and
    against load that stays when a request is not sent after all.
    """
    context = context_of(case, caller)
    placement = ordered_waiting.acquire(queue, case.chooser, context)
    assert case.chooser.loads.of("e0").requests == 1
    forwarding = types.SimpleNamespace(
        deps=types.SimpleNamespace(chooser=case.chooser)
    )
    service.Forwarding.release_unsent(forwarding, context, placement)
    assert case.chooser.loads.own == {}
    assert context.counted_load is None


def test_passed_on_request_waits_no_longer_than_without_the_queue(
    case, caller, queue
):
    """Guards against a request that is held at one instance until its
    deadline passes at the one that has the caller, which can't say then that
    it did not run.
    """
    case.chooser.loads.add("e0", FULL)
    exchange = types.SimpleNamespace(relayed=True)
    context = context_of(case, caller, exchange=exchange)
    began_s = clocks.boot_clock()
    refusal = ordered_waiting.acquire(queue, case.chooser, context)
    assert refusal.reason is verdict.Reason.OVERLOADED
    assert 0.9 < (clocks.boot_clock() - began_s) / (TARGET_S / 4) < 3


def test_refusal_says_why_and_when_to_retry(case, caller, queue):
    case.chooser.loads.add("e0", FULL)
    context = context_of(case, caller, timeout_s=0.2)
    queue.record_answer("engines", 1.0)
    refusal = ordered_waiting.acquire(queue, case.chooser, context)
    assert refusal.retry_after_s >= 0.3
    (step,) = context.steps
    assert step.startswith("no-room least-fill=")
    assert step.endswith("too-late")


def test_request_past_its_deadline_is_not_placed(case, caller, queue):
    """Guards against a request that runs for no caller."""
    context = context_of(case, caller, timeout_s=-0.01)
    with pytest.raises(supervision.EndedError) as caught:
        ordered_waiting.acquire(queue, case.chooser, context)
    assert caught.value.ending is supervision.Ending.TIMED_OUT
    assert case.chooser.loads.own == {}


def test_ended_request_leaves_the_queue(case, caller, queue):
    case.chooser.loads.add("e0", FULL)
    context = context_of(case, caller)
    context.watch.end(supervision.Ending.CALLER_GONE)
    with pytest.raises(supervision.EndedError):
        ordered_waiting.acquire(queue, case.chooser, context)
    assert not len(queue.queue_of("engines"))


def test_requests_without_endpoints_are_not_held(case, caller, queue):
    case.endpoints.clear()
    context = context_of(case, caller)
    refusal = ordered_waiting.acquire(queue, case.chooser, context)
    assert refusal.detail == "no endpoint of the service accepts requests"
    assert context.steps == [f"excluded ({refusal.detail})"]


def test_constraints_tell_requests_for_other_endpoints_apart(case):
    """Guards against requests that wait behind one which may only be sent
    elsewhere.
    """
    request = case.request()
    changes = [
        {},
        {"tried": frozenset({"e0"})},
        {"software": "1"},
        {"tokens": 200_000},
        {"partly_answered": True},
        {"organisation": routes.Organisation("n", regions=frozenset("a"))},
    ]
    found = {
        ordered_waiting.constraints_of(case.request(**one)) for one in changes
    }
    assert len(found) == len(changes)
    assert ordered_waiting.constraints_of(request) in found
    assert isinstance(request, requests.Request)
