from __future__ import annotations

import dataclasses
import threading
import time

import pytest
import structlog

from briarseam.discovery import model
from briarseam.testing import waiting
from briarseam.weights import engine_updates
from briarseam.weights import engine_weights
from briarseam.weights import goals
from briarseam.weights import orders
from briarseam.weights import plan as plans
from briarseam.weights import rollout as rollouts


class Duty:
    def __init__(self):
        self.number = 7
        self.refused = []

    def fence(self):
        return self.number

    def note_superseded(self, fence):
        self.refused.append(fence)
        self.number = None


class Engines:
    """Engines that take orders at once, each loading one report long."""

    def __init__(self, count):
        self.versions = {f"e{number}": 1 for number in range(count)}
        self.taken = dict.fromkeys(self.versions, 0)
        self.loading = {}
        self.most_loading = 0
        self.orders = []
        self.answer = None
        self.lock = threading.Lock()

    def report(self, address, endpoint):
        with self.lock:
            changing = endpoint in self.loading
            if changing:
                self.versions[endpoint] = self.loading.pop(endpoint)
            return orders.Report(
                {"m": self.versions[endpoint]},
                changing,
                self.taken[endpoint],
            )

    def order(self, address, endpoint, order):
        with self.lock:
            self.orders.append((endpoint, order))
            if self.answer is not None:
                return self.answer
            self.taken[endpoint] += 1
            self.loading[endpoint] = order.version
            self.most_loading = max(self.most_loading, len(self.loading))
            return orders.Taken()


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch):
    monkeypatch.setattr(engine_updates, "NOTICE_S", 0.01)
    monkeypatch.setattr(engine_updates, "POLL_S", 0.01)
    monkeypatch.setattr(rollouts, "REVIEW_S", 0.01)


class Case:
    def __init__(self, count=5):
        self.engines = Engines(count)
        self.duty = Duty()
        self.known_weights = engine_weights.EngineWeights(goals.GoalHistory())
        self.goal = goals.WeightGoal("m", 2)
        self.rollout = rollouts.Rollout(
            engine_updates.Sources(
                goals=lambda: {"m": self.goal},
                targets=lambda model: [
                    endpoint(name, 1) for name in self.engines.versions
                ],
                leadership=self.duty,
                engines=self.engines,
                known_weights=self.known_weights,
                own_name="me",
            )
        )


def endpoint(name, version):
    return model.Endpoint(
        name, "engines", "127.0.0.1:1", "a", 8, False, {"m": version}
    )


@pytest.fixture
def case():
    made = Case()
    made.rollout.start()
    yield made
    made.rollout.stop()


def test_all_engines_get_the_wanted_weights_two_at_a_time(case):
    waiting.until(lambda: set(case.engines.versions.values()) == {2})
    assert len(case.engines.orders) == 5
    assert case.engines.most_loading <= plans.EASY_AT_ONCE
    waiting.until(lambda: not case.known_weights.changing)
    assert case.known_weights.version("e0", "m", 1) == 2


def test_no_order_is_given_without_the_duty(case):
    case.duty.number = None
    case.goal = goals.WeightGoal("m", 3)
    given = len(case.engines.orders)
    waiting.until(lambda: not case.rollout.busy)
    assert all(order.version == 2 for _, order in case.engines.orders[given:])


def test_refused_number_ends_the_orders():
    made = Case(count=1)
    made.engines.answer = orders.Superseded()
    made.rollout.start()
    waiting.until(lambda: made.duty.refused == [7])
    made.rollout.stop()
    assert len(made.engines.orders) == 1


def test_order_whose_answer_is_lost_can_only_be_taken_once(case):
    """An engine does not answer an order and carries it out seconds later,
    after the order was repeated.  Both name the number of orders that the
    engine had taken, so the late one changes nothing.
    """
    case.engines.answer = orders.Lost("no answer")
    case.goal = goals.WeightGoal("m", 3)
    waiting.until(
        lambda: sum(name == "e0" for name, _ in case.engines.orders) > 2
    )
    expected = {
        order.orders_taken
        for name, order in case.engines.orders
        if name == "e0" and order.version == 3
    }
    assert len(expected) <= 1


class Slow(Engines):
    """Engines that load until four of them do, as loads take seconds."""

    def report(self, address, endpoint):
        with self.lock:
            if endpoint in self.loading and self.most_loading < 4:
                return orders.Report({"m": 1}, True, self.taken[endpoint])
        return super().report(address, endpoint)


def test_many_engines_are_changed_more_at_a_time():
    made = Case(count=20)
    made.engines = Slow(20)
    made.rollout.sources = dataclasses.replace(
        made.rollout.sources, engines=made.engines
    )
    made.rollout.start()
    waiting.until(lambda: set(made.engines.versions.values()) == {2})
    made.rollout.stop()
    assert made.engines.most_loading == 4


class Unshown(Engines):
    """Engines whose reports do not show an order for a while."""

    def __init__(self, count):
        super().__init__(count)
        self.hidden = {}

    def report(self, address, endpoint):
        if self.hidden.get(endpoint, 0) > 0:
            self.hidden[endpoint] -= 1
            return orders.Report({"m": 1}, False, 0)
        return super().report(address, endpoint)

    def order(self, address, endpoint, order):
        self.hidden[endpoint] = 5
        return super().order(address, endpoint, order)


def test_order_that_reports_do_not_show_yet_is_not_repeated():
    """Reports are some hundred milliseconds old; each order is paid for."""
    made = Case(count=3)
    made.engines = Unshown(3)
    made.rollout.sources = dataclasses.replace(
        made.rollout.sources, engines=made.engines
    )
    made.rollout.start()
    waiting.until(lambda: set(made.engines.versions.values()) == {2})
    made.rollout.stop()
    assert len(made.engines.orders) == 3


class Silent(Engines):
    """Engines of which some do not report."""

    def report(self, address, endpoint):
        if endpoint in {"e0", "e1"}:
            time.sleep(0.1)
            raise orders.EngineUnavailableError("timed out")
        return super().report(address, endpoint)


def test_engines_that_do_not_report_do_not_keep_others_from_their_turn():
    """Two engines hang; two at a time are changed, and these came first
    each time, so that the others kept their old weights.
    """
    made = Case(count=6)
    made.engines = Silent(6)
    made.rollout.sources = dataclasses.replace(
        made.rollout.sources, engines=made.engines
    )
    made.rollout.start()
    waiting.until(lambda: list(made.engines.versions.values()).count(2) == 4)
    made.rollout.stop()


class Replaced(Engines):
    """Engines of which some have started anew under another id."""

    def order(self, address, endpoint, order):
        if endpoint in {"e0", "e1"}:
            self.orders.append((endpoint, order))
            return orders.Refused("another one answers at this address")
        return super().order(address, endpoint, order)


def test_engines_that_refuse_orders_do_not_keep_others_from_their_turn():
    """Two engines crash and come back as others at the same address, while
    their old entries still stand.  The orders to them were repeated for
    eight seconds, and no other engine got new weights meanwhile.
    """
    made = Case(count=6)
    made.engines = Replaced(6)
    made.rollout.sources = dataclasses.replace(
        made.rollout.sources, engines=made.engines
    )
    made.rollout.start()
    waiting.until(lambda: list(made.engines.versions.values()).count(2) == 4)
    made.rollout.stop()
    refused = [name for name, _ in made.engines.orders if name in {"e0", "e1"}]
    assert len(refused) <= 4


def test_peers_are_told_at_once_before_an_engine_takes_no_work(monkeypatch):
    """Peers heard it with the next heartbeat, half a second later, and sent
    on; a prompt that may be tried once was refused.
    """
    monkeypatch.setattr(engine_updates, "SHORT_NOTICE_S", 0.01)
    made = Case(count=1)
    told = []
    made.rollout.sources = dataclasses.replace(
        made.rollout.sources,
        publish=lambda: told.append(
            (made.known_weights.is_changing("e0"), len(made.engines.orders))
        ),
        remaining_s=lambda model, version: 0.5,
    )
    made.rollout.start()
    waiting.until(lambda: made.engines.versions == {"e0": 2})
    made.rollout.stop()
    assert told == [(True, 0)]


def test_runs_are_not_waited_for_when_time_is_short():
    made = Case(count=6)
    made.rollout.sources = dataclasses.replace(
        made.rollout.sources, remaining_s=lambda model, version: 8.0
    )
    made.rollout.start()
    waiting.until(lambda: set(made.engines.versions.values()) == {2})
    made.rollout.stop()
    assert made.engines.orders[0][1].mode is orders.Mode.RETAIN


def planned(case, versions):
    """Return the plan for engines with these weights, 60 s to go."""
    history = case.known_weights.history
    history.add(goals.WeightGoal("m", 2), age_s=100.0)
    history.add(goals.WeightGoal("m", 3))
    targets = [
        endpoint(f"e{number}", version)
        for number, version in enumerate(versions)
    ]
    case.rollout.sources = dataclasses.replace(
        case.rollout.sources,
        remaining_s=lambda model, version: history.remaining_s(
            model, version, 60.0
        ),
    )
    goal = goals.WeightGoal("m", 3)
    behind = case.rollout.behind(goal, targets)
    return case.rollout.plan(goal, targets, behind)


@pytest.mark.parametrize("version", [0, 1])
def test_engine_out_of_use_does_not_hurry_the_others(version):
    """An engine is restarting, so that its weights are not known, or did
    not answer when weights 2 were put in place.  Nothing is gained by
    haste, but the runs of all others are changed under way, and what they
    make from then on counts for nothing.
    """
    plan = planned(Case(), [version, 2, 2, 2, 2, 2])
    assert plan.mode is orders.Mode.FINISH


def test_plan_is_logged_once_for_each_of_two_models(case):
    """Weights of two models are named; each review logs both plans anew,
    eight lines a second for as long as the rollouts last.
    """
    case.rollout.stop()
    case.rollout.reviews.thread.join()
    both = [goals.WeightGoal(name, 2) for name in ("m", "n")]
    targets = [
        model.Endpoint(
            "e0", "engines", "127.0.0.1:1", "a", 8, False, {"m": 1, "n": 1}
        )
    ]
    with structlog.testing.capture_logs() as lines:
        for _review in range(4):
            for goal in both:
                case.rollout.plan(goal, targets, targets)
    found = [line for line in lines if line["event"] == "rollout_planned"]
    assert len(found) == 2


def test_engines_under_way_do_not_count_as_not_begun():
    """Sixty engines, 18 s: three rounds of twenty, five seconds each, are
    in time.  Two seconds later the twenty under way still count as to be
    done, so that what is left looks like three rounds of less time than
    that; the rest has its runs changed under way, and four more engines
    are out of service at once.
    """
    made = Case(count=60)
    targets = [endpoint(f"e{number}", 1) for number in range(60)]
    goal = goals.WeightGoal("m", 2)
    left_s = [17.7]
    made.rollout.sources = dataclasses.replace(
        made.rollout.sources, remaining_s=lambda model, version: left_s[0]
    )
    first = made.rollout.plan(goal, targets, targets)
    assert first == plans.Plan(20, orders.Mode.FINISH)
    made.rollout.busy.update(target.id for target in targets[:20])
    left_s[0] -= 2.0
    assert made.rollout.plan(goal, targets, targets) == first
