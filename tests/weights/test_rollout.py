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


class FakeLeadership:
    def __init__(self):
        self.number = 7
        self.refused = []

    def fence(self):
        return self.number

    def record_superseded(self, fence):
        self.refused.append(fence)
        self.number = None


class Engines:
    """Engines that accept orders at once and are loading for one report."""

    def __init__(self, count):
        self.versions = {f"e{number}": 1 for number in range(count)}
        self.taken = dict.fromkeys(self.versions, 0)
        self.loading = {}
        self.max_loading = 0
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
            self.max_loading = max(self.max_loading, len(self.loading))
            return orders.Taken()


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch):
    monkeypatch.setattr(engine_updates, "NOTICE_S", 0.01)
    monkeypatch.setattr(engine_updates, "POLL_S", 0.01)
    monkeypatch.setattr(rollouts, "REVIEW_S", 0.01)


class Case:
    def __init__(self, count=5):
        self.engines = Engines(count)
        self.leadership = FakeLeadership()
        self.known_weights = engine_weights.EngineWeights(goals.GoalHistory())
        self.goal = goals.WeightGoal("m", 2)
        self.rollout = rollouts.Rollout(
            engine_updates.Sources(
                goals=lambda: {"m": self.goal},
                targets=lambda model: [
                    endpoint(name, 1) for name in self.engines.versions
                ],
                leadership=self.leadership,
                engines=self.engines,
                known_weights=self.known_weights,
                own_name="local",
            )
        )


def endpoint(name, version):
    return model.Endpoint(
        name, "engines", "127.0.0.1:1", "a", 8, False, {"m": version}
    )


@pytest.fixture
def case():
    case = Case()
    case.rollout.start()
    yield case
    case.rollout.stop()


def test_all_engines_get_the_desired_weights_two_at_a_time(case):
    waiting.until(lambda: set(case.engines.versions.values()) == {2})
    assert len(case.engines.orders) == 5
    assert case.engines.max_loading <= plans.MIN_RELAXED
    waiting.until(lambda: not case.known_weights.changing)
    assert case.known_weights.version("e0", "m", 1) == 2


def test_only_the_leader_gives_orders(case):
    case.leadership.number = None
    case.goal = goals.WeightGoal("m", 3)
    given = len(case.engines.orders)
    waiting.until(lambda: not case.rollout.busy)
    assert all(order.version == 2 for _, order in case.engines.orders[given:])


def test_superseded_order_ends_the_orders():
    case = Case(count=1)
    case.engines.answer = orders.Superseded()
    case.rollout.start()
    waiting.until(lambda: case.leadership.refused == [7])
    case.rollout.stop()
    assert len(case.engines.orders) == 1


def test_order_whose_answer_is_lost_can_be_accepted_only_once(case):
    """An engine does not answer an order and carries it out seconds later,
    after the order was repeated.  Both orders carry the number of orders
    that the engine had accepted, so the late one has no effect.
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


class SlowEngines(Engines):
    """Engines that are loading until four of them are at once."""

    def report(self, address, endpoint):
        with self.lock:
            if endpoint in self.loading and self.max_loading < 4:
                return orders.Report({"m": 1}, True, self.taken[endpoint])
        return super().report(address, endpoint)


def test_more_of_many_engines_are_changed_at_once():
    case = Case(count=20)
    case.engines = SlowEngines(20)
    case.rollout.sources = dataclasses.replace(
        case.rollout.sources, engines=case.engines
    )
    case.rollout.start()
    waiting.until(lambda: set(case.engines.versions.values()) == {2})
    case.rollout.stop()
    assert case.engines.max_loading == 4


class LaggingEngines(Engines):
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
    """Reports are some hundred milliseconds old; each order has a cost."""
    case = Case(count=3)
    case.engines = LaggingEngines(3)
    case.rollout.sources = dataclasses.replace(
        case.rollout.sources, engines=case.engines
    )
    case.rollout.start()
    waiting.until(lambda: set(case.engines.versions.values()) == {2})
    case.rollout.stop()
    assert len(case.engines.orders) == 3


class SilentEngines(Engines):
    """Engines of which some do not report."""

    def report(self, address, endpoint):
        if endpoint in {"e0", "e1"}:
            time.sleep(0.1)
            raise orders.EngineUnavailableError("timed out")
        return super().report(address, endpoint)


def test_engines_that_do_not_report_do_not_delay_the_others():
    """Two engines hang, and two are changed at a time.  If these came first
    each time, the others would keep their old weights.
    """
    case = Case(count=6)
    case.engines = SilentEngines(6)
    case.rollout.sources = dataclasses.replace(
        case.rollout.sources, engines=case.engines
    )
    case.rollout.start()
    waiting.until(lambda: list(case.engines.versions.values()).count(2) == 4)
    case.rollout.stop()


class ReplacedEngines(Engines):
    """Engines of which some have restarted under another id."""

    def order(self, address, endpoint, order):
        if endpoint in {"e0", "e1"}:
            self.orders.append((endpoint, order))
            return orders.Refused("another one answers at this address")
        return super().order(address, endpoint, order)


def test_engines_that_refuse_orders_do_not_delay_the_others():
    """Two engines crash and other ones start at their addresses, while the old
    entries still exist.  If the orders to them were repeated, no other engine
    would get new weights for eight seconds.
    """
    case = Case(count=6)
    case.engines = ReplacedEngines(6)
    case.rollout.sources = dataclasses.replace(
        case.rollout.sources, engines=case.engines
    )
    case.rollout.start()
    waiting.until(lambda: list(case.engines.versions.values()).count(2) == 4)
    case.rollout.stop()
    refused = [name for name, _ in case.engines.orders if name in {"e0", "e1"}]
    assert len(refused) <= 4


def test_change_is_published_to_peers_before_the_order(monkeypatch):
    """If peers learned of it with the next heartbeat only, half a second
    later, a prompt that may be tried only once could be sent to an engine
    that refuses it.
    """
    monkeypatch.setattr(engine_updates, "SHORT_NOTICE_S", 0.01)
    case = Case(count=1)
    published = []
    case.rollout.sources = dataclasses.replace(
        case.rollout.sources,
        publish=lambda: published.append(
            (case.known_weights.is_changing("e0"), len(case.engines.orders))
        ),
        remaining_s=lambda model, version: 0.5,
    )
    case.rollout.start()
    waiting.until(lambda: case.engines.versions == {"e0": 2})
    case.rollout.stop()
    assert published == [(True, 0)]


def test_runs_are_retained_when_time_is_short():
    case = Case(count=6)
    case.rollout.sources = dataclasses.replace(
        case.rollout.sources, remaining_s=lambda model, version: 8.0
    )
    case.rollout.start()
    waiting.until(lambda: set(case.engines.versions.values()) == {2})
    case.rollout.stop()
    assert case.engines.orders[0][1].mode is orders.Mode.RETAIN


def planned(case, versions):
    """Return the plan for engines with these weights, with 60 s left."""
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
    outdated = case.rollout.outdated(goal, targets)
    return case.rollout.plan(goal, targets, outdated)


@pytest.mark.parametrize("version", [0, 1])
def test_engine_with_excluded_weights_does_not_hurry_the_others(version):
    """An engine is restarting, so its weights are not known, or it did not
    answer when weights 2 were rolled out.  A faster plan would gain nothing,
    but change the weights of active runs, whose further output would be
    useless.
    """
    plan = planned(Case(), [version, 2, 2, 2, 2, 2])
    assert plan.mode is orders.Mode.FINISH


def test_plan_is_logged_once_for_each_of_two_models(case):
    """If each review logged both plans again, the rollouts of two models would
    log eight lines a second.
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
    planned_lines = [
        line for line in lines if line["event"] == "rollout_planned"
    ]
    assert len(planned_lines) == 2


def test_engines_being_changed_do_not_count_as_outdated():
    """Sixty engines in 18 s: three rounds of twenty, five seconds each, end
    in time.  If the twenty engines of the first round still counted as
    outdated two seconds later, the rest would look late: active runs would
    not finish, and four more engines would be out of service at once.
    """
    case = Case(count=60)
    targets = [endpoint(f"e{number}", 1) for number in range(60)]
    goal = goals.WeightGoal("m", 2)
    remaining_s = [17.7]
    case.rollout.sources = dataclasses.replace(
        case.rollout.sources, remaining_s=lambda model, version: remaining_s[0]
    )
    first = case.rollout.plan(goal, targets, targets)
    assert first == plans.Plan(20, orders.Mode.FINISH)
    case.rollout.busy.update(target.id for target in targets[:20])
    remaining_s[0] -= 2.0
    assert case.rollout.plan(goal, targets, targets) == first
