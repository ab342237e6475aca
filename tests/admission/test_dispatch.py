from __future__ import annotations

import threading
import time

import pytest

from briarseam import verdict
from briarseam.admission import dispatch
from briarseam.admission import fair_queue
from briarseam.admission import retry_schedule
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.routing import state as routing
from briarseam.testing import waiting


class Engines:
    """Engines with a number of free slots that the test sets."""

    def __init__(self, slots, first_token_s=0.1):
        self.free = slots
        self.total = slots
        self.first_token_s = first_token_s

    def choose_engine(self, query):
        return routing.Choice(
            "engine",
            "127.0.0.1:1",
            model=query.model,
            first_token_s=self.first_token_s,
        )

    def has_room(self, choice, share):
        return self.free > 0

    def run_s(self, model):
        return 1.0

    def slots(self, model):
        return self.total


def build(engines, max_queued=100, per_organisation=50):
    schedule = retry_schedule.RetrySchedule(time.monotonic)
    bounds = dispatch.Bounds(max_queued, per_organisation)
    return dispatch.Dispatcher(engines, schema.View, schedule, bounds)


@pytest.fixture
def engines():
    return Engines(slots=1)


@pytest.fixture
def dispatcher(engines):
    built = build(engines)
    built.start()
    yield built
    built.stop()


def waiter(engines, organisation="north", deadline_s=30.0):
    query = routing.PromptQuery(organisation, "", "draft", (), 100)

    def start(choice):
        engines.free -= 1

    at = time.monotonic() + deadline_s
    return dispatch.Waiter(query, fair_queue.Rank(5, at), start)


def place_in_thread(dispatcher, queued_waiter, done):
    def place():
        try:
            dispatcher.place(queued_waiter)
            done.append(queued_waiter.query.organisation)
        except verdict.RefusalError as error:
            done.append(error.given.reason)

    thread = threading.Thread(target=place, daemon=True)
    thread.start()
    return thread


def queued(dispatcher):
    return sum(len(queue) for queue in dispatcher.queues.values())


def test_queued_prompt_is_granted_when_a_run_ends(dispatcher, engines):
    """A prompt that finds the only slot busy is queued and granted as soon
    as the first run ends.
    """
    dispatcher.place(waiter(engines))
    done = []
    place_in_thread(dispatcher, waiter(engines), done)
    waiting.until(lambda: queued(dispatcher) == 1, what="one waits")
    engines.free += 1
    dispatcher.record_end()
    waiting.until(lambda: done == ["north"], what="the second is served")


def test_burst_does_not_delay_another_organisation(dispatcher, engines):
    """A large organisation has twenty queued prompts when a small one sends
    its only prompt, which is granted before the rest of the burst.
    """
    dispatcher.place(waiter(engines, "large"))
    done = []
    for _ in range(20):
        place_in_thread(dispatcher, waiter(engines, "large"), done)
    waiting.until(lambda: queued(dispatcher) == 20, what="the burst waits")
    place_in_thread(dispatcher, waiter(engines, "small"), done)
    waiting.until(lambda: queued(dispatcher) == 21, what="the small waits")
    for served in range(1, 4):
        engines.free += 1
        dispatcher.record_end()
        waiting.until(lambda n=served: len(done) == n, what="one served")
    assert "small" in done


def test_unattainable_deadline_is_refused_at_once(dispatcher, engines):
    """A prompt with a predicted time to first token of 2 s and a deadline
    of 1 s is refused without waiting for the deadline.
    """
    engines.first_token_s = 2.0
    with pytest.raises(verdict.RefusalError) as refusal:
        dispatcher.place(waiter(engines, deadline_s=1.0))
    given = refusal.value.given
    assert isinstance(given, verdict.NotRun)
    assert given.reason is verdict.Reason.DEADLINE
    assert given.retry_after_s > 0


def test_a_queue_too_long_for_the_deadline_is_refused_at_once(
    dispatcher, engines
):
    """With one slot, runs of 1 s and ten queued prompts, the expected wait
    is 11 s, so a prompt with a deadline of 3 s is refused.
    """
    dispatcher.place(waiter(engines))
    done = []
    for _ in range(10):
        place_in_thread(dispatcher, waiter(engines), done)
    waiting.until(lambda: queued(dispatcher) == 10, what="ten wait")
    with pytest.raises(verdict.RefusalError) as refusal:
        dispatcher.place(waiter(engines, deadline_s=3.0))
    assert refusal.value.given.reason is verdict.Reason.DEADLINE


def test_a_full_queue_refuses(engines):
    """A prompt beyond ``max_queued`` is refused and not queued."""
    dispatcher = build(engines, max_queued=1)
    dispatcher.start()
    dispatcher.place(waiter(engines))
    done = []
    place_in_thread(dispatcher, waiter(engines), done)
    waiting.until(lambda: queued(dispatcher) == 1, what="one waits")
    with pytest.raises(verdict.RefusalError) as refusal:
        dispatcher.place(waiter(engines))
    assert refusal.value.given.reason is verdict.Reason.OVERLOADED
    dispatcher.stop()
    waiting.until(lambda: len(done) == 1, what="the one is refused")


def test_stopping_agent_refuses_queued_prompts(dispatcher, engines):
    """When an agent stops, its queued prompts are refused at once, so that
    their callers can use another instance.
    """
    dispatcher.place(waiter(engines))
    done = []
    place_in_thread(dispatcher, waiter(engines), done)
    waiting.until(lambda: queued(dispatcher) == 1, what="one waits")
    dispatcher.stop()
    waiting.until(
        lambda: done == [verdict.Reason.LEAVING], what="it is refused"
    )


def test_error_while_choosing_does_not_end_the_thread(dispatcher, engines):
    """Two prompts are queued, and choosing an engine for the first raises an
    exception.  It is refused, and the second is still granted.
    """
    dispatcher.place(waiter(engines))
    done = []
    place_in_thread(dispatcher, waiter(engines, "broken"), done)
    waiting.until(lambda: queued(dispatcher) == 1, what="one waits")
    place_in_thread(dispatcher, waiter(engines), done)
    waiting.until(lambda: queued(dispatcher) == 2, what="two wait")
    choose = engines.choose_engine

    def choose_or_fail(query):
        if query.organisation == "broken":
            raise KeyError(query.model)
        return choose(query)

    engines.choose_engine = choose_or_fail
    engines.free += 1
    dispatcher.record_end()
    waiting.until(lambda: len(done) == 2, what="both are settled")
    assert set(done) == {verdict.Reason.NO_ENDPOINT, "north"}


def test_retry_times_are_spread_without_an_engine(dispatcher, engines):
    """While all engines are lost every caller is refused.  With the same
    retry time for all, they would return together in a second peak.
    """
    engines.choose_engine = lambda query: routing.NoChoice("none", 1.0)
    waits = []
    for _ in range(10):
        with pytest.raises(verdict.RefusalError) as refusal:
            dispatcher.place(waiter(engines))
        waits.append(refusal.value.given.retry_after_s)
    assert waits == sorted(waits)
    assert waits[-1] - waits[0] > 1.0


def test_arrival_queueing_serves_a_burst_first(engines):
    """The baseline of the fairness benchmark is a single flow in order of
    priority and deadline; it must not be fair itself.
    """
    dispatcher = build(engines)
    policy = values.RoutingPolicy(queueing="arrival")
    dispatcher.view = lambda: schema.View(routing=policy)
    dispatcher.start()
    dispatcher.place(waiter(engines, "large"))
    done = []
    for number in range(3):
        place_in_thread(dispatcher, waiter(engines, "large"), done)
        waiting.until(lambda n=number: queued(dispatcher) == n + 1, what="in")
    place_in_thread(dispatcher, waiter(engines, "small"), done)
    waiting.until(lambda: queued(dispatcher) == 4, what="the small waits")
    for served in range(1, 4):
        engines.free += 1
        dispatcher.record_end()
        waiting.until(lambda n=served: len(done) == n, what="one served")
    dispatcher.stop()
    waiting.until(lambda: len(done) == 4, what="the last is refused")
    assert done[:3] == ["large"] * 3


def test_failed_runs_do_not_change_the_service_rate(dispatcher):
    """While engines refuse everything, hundreds of runs fail within a
    second.  Were they counted as service, refused callers would be told to
    return at that rate, all at once when the engines recover.
    """
    before = dispatcher.schedule.rate_per_s
    for _ in range(200):
        dispatcher.record_end(complete=False)
    assert dispatcher.schedule.rate_per_s == before
