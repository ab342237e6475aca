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
    """Engines with so many slots, counted by hand."""

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


def place_in_thread(dispatcher, one, done):
    def place():
        try:
            dispatcher.place(one)
            done.append(one.query.organisation)
        except verdict.RefusalError as error:
            done.append(error.given.reason)

    thread = threading.Thread(target=place, daemon=True)
    thread.start()
    return thread


def queued(dispatcher):
    return sum(len(queue) for queue in dispatcher.queues.values())


def test_what_has_no_slot_waits_and_is_served_when_one_ends(
    dispatcher, engines
):
    """The only slot is taken.  The next caller waits and gets it as soon
    as the first run ends, without asking again.
    """
    dispatcher.place(waiter(engines))
    done = []
    place_in_thread(dispatcher, waiter(engines), done)
    waiting.until(lambda: queued(dispatcher) == 1, what="one waits")
    engines.free += 1
    dispatcher.record_end()
    waiting.until(lambda: done == ["north"], what="the second is served")


def test_a_small_organisation_passes_a_burst(dispatcher, engines):
    """A large organisation has twenty requests waiting when a small one
    sends its only one.  It is served before the rest of the burst.
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


def test_a_deadline_that_cannot_be_made_is_refused_at_once(
    dispatcher, engines
):
    """The prediction says two seconds and the caller needs its token in
    one.  It hears so now, not when the second is over.
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
    """One slot, runs of a second, and ten wait already.  A caller that
    needs its token within three seconds would wait eleven for nothing.
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
    """As many wait as may.  The next caller is told to come back, and
    nothing of it is kept.
    """
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


def test_a_stopping_agent_refuses_those_who_wait(dispatcher, engines):
    """An agent stops while a caller waits in its queue.  The caller is
    told at once, as not run, so that it can use another instance.
    """
    dispatcher.place(waiter(engines))
    done = []
    place_in_thread(dispatcher, waiter(engines), done)
    waiting.until(lambda: queued(dispatcher) == 1, what="one waits")
    dispatcher.stop()
    waiting.until(
        lambda: done == [verdict.Reason.LEAVING], what="it is refused"
    )


def test_an_error_over_one_request_does_not_end_the_service(
    dispatcher, engines
):
    """Two callers wait.  Choosing for the first fails with an error of our
    own; it is refused, and the second is served when its turn comes.
    """
    dispatcher.place(waiter(engines))
    done = []
    place_in_thread(dispatcher, waiter(engines, "broken"), done)
    waiting.until(lambda: queued(dispatcher) == 1, what="one waits")
    place_in_thread(dispatcher, waiter(engines), done)
    waiting.until(lambda: queued(dispatcher) == 2, what="two wait")
    choose = engines.choose_engine

    def choose_or_break(query):
        if query.organisation == "broken":
            raise KeyError(query.model)
        return choose(query)

    engines.choose_engine = choose_or_break
    engines.free += 1
    dispatcher.record_end()
    waiting.until(lambda: len(done) == 2, what="both are settled")
    assert set(done) == {verdict.Reason.NO_ENDPOINT, "north"}


def test_callers_of_a_model_without_an_engine_return_spread_out(
    dispatcher, engines
):
    """All engines are lost for a while and every caller is refused.  Told
    the same second, all would come back together and make a second peak.
    """
    engines.choose_engine = lambda query: routing.NoChoice("none", 1.0)
    waits = []
    for _ in range(10):
        with pytest.raises(verdict.RefusalError) as refusal:
            dispatcher.place(waiter(engines))
        waits.append(refusal.value.given.retry_after_s)
    assert waits == sorted(waits)
    assert waits[-1] - waits[0] > 1.0


def test_without_fair_queueing_a_burst_comes_first(engines):
    """The baseline of the fairness figure: one lane in order of priority
    and deadline.  If it were fair as well, the figure would say nothing.
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


def test_runs_that_fail_do_not_count_as_service(dispatcher):
    """Engines refuse everything for a while: hundreds of runs end within a
    second, none of them served.  Refused callers who were told to return
    at that rate would all be back at once when the engines are.
    """
    before = dispatcher.schedule.rate_per_s
    for _ in range(200):
        dispatcher.record_end(complete=False)
    assert dispatcher.schedule.rate_per_s == before
