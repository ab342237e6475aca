"""Choices of engines by predicted late answers."""

from __future__ import annotations

import dataclasses

import pytest

from briarseam.placement import loads
from briarseam.placement import requests
from briarseam.prediction import prefill_time
from briarseam.prediction import rates
from briarseam.routes import model as routes
from tests.placement import test_chooser

TOKENS = 8000
S_PER_TOKEN = prefill_time.INITIAL_MS / 1000


class Case(test_chooser.Case):
    """An instance that predicts, and engines that answer at known speeds."""

    def __init__(self, engines=12):
        super().__init__(engines)
        self.chooser.compare_by_prediction(True)
        self.factors = {}
        self.number = 0

    def answer(self, count=1, **changes):
        """Place prompts of new sessions; return the engines that answered."""
        chosen = []
        for _ in range(count):
            self.number += 1
            values = {"tokens": TOKENS, "session": f"new-{self.number}"}
            request = self.request(**(values | changes))
            placement = self.chooser.choose(request)
            chosen.append(placement.endpoint.id)
            factor = self.factors.get(placement.endpoint.id, 1.0)
            took_s = factor * placement.tokens_ahead() * S_PER_TOKEN
            added = self.chooser.record_start(placement, request.call)
            running = self.chooser.record_first_event(
                placement, request, added, took_s
            )
            self.chooser.record_end(placement, request.call, running)
            self.clock.now_s += 0.1
        return chosen


@pytest.fixture
def case():
    return Case()


def test_all_engines_are_compared(case):
    """Guards against a prompt that is late beside an idle engine.

    The engines that rank first for the session have time for it, but only
    the last one is idle.
    """
    first = case.place().endpoint.id
    for endpoint in case.endpoints:
        if endpoint.id != "e7":
            case.chooser.loads.add(endpoint.id, loads.Load(1, 30_000))
    assert first != "e7"
    assert case.place().endpoint.id == "e7"


def test_sessions_stay_with_an_engine_that_is_as_good_as_the_best(case):
    """Guards against sessions whose prompts meet at no engine."""
    home = case.place(session="s1").endpoint
    case.chooser.loads.add(home.id, loads.Load(1, 500, 1))
    assert case.place(session="s1").endpoint == home
    homes = {
        case.place(session=f"s{number}").endpoint.id for number in range(200)
    }
    assert homes == {endpoint.id for endpoint in case.endpoints}


def test_engine_with_fewer_streams_to_delay_is_preferred(case):
    """Guards against pauses in running streams.

    All engines would meet the prompt's own target.
    """
    for endpoint in case.endpoints:
        running = 0 if endpoint.id == "e5" else 5
        load = loads.Load(requests=running, running=running)
        case.chooser.loads.add(endpoint.id, load)
    others = {
        case.place(tokens=9000, session=f"s{number}").endpoint.id
        for number in range(20)
    }
    assert others != {"e5"}
    case.chooser.predictor.max_pauses = {"engines": 0.4}
    for number in range(20):
        placed = case.place(tokens=9000, session=f"s{number}")
        assert placed.endpoint.id == "e5"


def test_slow_engine_gets_less_until_it_recovers(case):
    """Guards against an engine that is used too much or never again."""
    case.answer(240)
    case.factors["e3"] = 5.0
    slowed = case.answer(240).count("e3")
    assert 1 <= slowed <= 10
    case.factors.clear()
    case.answer(240)
    assert case.answer(240).count("e3") >= 12


def test_ratio_of_a_restarted_engine_is_forgotten(case):
    """Guards against avoiding a new process for its predecessor."""
    case.factors["e3"] = 5.0
    case.answer(240)
    known = case.chooser.predictor.rates
    assert known.ratio("e3") > 1.2
    case.chooser.forget_old({"e0", "e1"})
    assert known.ratio("e3") == 1.0
    assert set(known.ratios) <= {"e0", "e1"}


def test_sample_of_a_frozen_instance_is_left_out(case):
    """Guards against engines that count as slow after the instance froze."""
    request = case.request(tokens=TOKENS)
    placement = case.chooser.choose(request)
    rates_before = case.chooser.predictor.rates.speed("engines")
    case.chooser.update_estimates(placement, request, 16.0)
    predictor = case.chooser.predictor
    assert predictor.rates.speed("engines") == rates_before
    assert predictor.rates.ratio(placement.endpoint.id) == 1.0
    assert predictor.spreads.of("engines").samples == 0


def test_prompt_that_fetched_does_not_train_the_speed(case):
    """Guards against taking a slow store for slow engines."""
    request = case.request(tokens=TOKENS)
    placement = case.chooser.choose(request)
    instructions = dataclasses.replace(
        placement.instructions, fetch_from=("10.0.0.9:1",)
    )
    fetched = dataclasses.replace(placement, instructions=instructions)
    predictor = case.chooser.predictor
    before = predictor.rates.speed("engines")
    case.chooser.update_estimates(fetched, request, 2.0)
    assert predictor.rates.speed("engines") == before
    assert predictor.rates.ratio(placement.endpoint.id) == 1.0
    assert predictor.spreads.of("engines").samples == 1


def test_limits_of_engines_hold(case):
    """Guards against predictions that override slots, memory or weights."""
    full_slots = loads.Load(requests=8, running=8)
    full_memory = loads.Load(requests=1, running=1, memory_tokens=95_000)
    for number, endpoint in enumerate(case.endpoints):
        load = full_slots if number % 2 else full_memory
        case.chooser.loads.add(endpoint.id, load)
    refused = case.place(tokens=TOKENS)
    assert isinstance(refused, requests.NoCapacity)
    assert refused.engines == len(case.endpoints)
    resumed = case.place(tokens=TOKENS, partly_answered=True)
    assert isinstance(resumed, requests.Placement)
    case.required = 2
    outdated = case.place(tokens=TOKENS, partly_answered=True)
    assert isinstance(outdated, requests.NoCapacity)
    assert outdated.outdated == len(case.endpoints)


def test_old_weights_cost_a_fifth_of_an_answer(case):
    """Guards against swamping the few engines with new weights."""
    case.known_weights.record_version("e2", test_chooser.MODEL, 2)
    assert case.place().endpoint.id == "e2"
    busy = loads.Load(requests=4, waiting_tokens=40_000)
    case.chooser.loads.add("e2", busy)
    assert case.place().endpoint.id != "e2"


def test_full_memory_is_avoided_before_it_is_exhausted(case):
    for endpoint in case.endpoints:
        if endpoint.id != "e9":
            case.chooser.loads.add(
                endpoint.id, loads.Load(memory_tokens=70_000)
            )
    assert case.place().endpoint.id == "e9"


def test_overdue_prompt_is_placed(case):
    assert isinstance(case.place(target_remaining_s=-2.0), requests.Placement)


def test_route_without_target_is_never_late(case):
    """Guards against treating all prompts without a target as hopeless."""
    route = dataclasses.replace(case.request().route, target_latency_s=0.0)
    placement = case.place(route=route, target_remaining_s=-0.5)
    assert placement.prediction.expected_late < 0.01


def test_prediction_of_the_chosen_engine(case):
    case.chooser.predictor.rates = rates.Rates(case.clock)
    case.chooser.loads.add("e0", loads.Load(1, 2000, 0))
    only = [endpoint for endpoint in case.endpoints if endpoint.id == "e0"]
    case.endpoints[:] = only
    prediction = case.place(tokens=TOKENS).prediction
    assert prediction.first_event_s == pytest.approx(0.21)
    assert prediction.endpoint_ratio == 1.0
    assert 0.01 < prediction.expected_late < 0.03


def test_longest_pause_of_a_service_is_the_shortest_of_its_routes():
    def route(name, service, pause_s):
        return dataclasses.replace(
            Case().request().route,
            name=name,
            shares=(routes.Share(service),),
            max_pause_s=pause_s,
        )

    configuration = routes.Configuration(
        1,
        (
            route("a", "engines", 0.5),
            route("b", "engines", 0.4),
            route("c", "engines", 0.0),
            route("d", "others", 0.0),
        ),
        {},
        None,
        routes.CallerLimits(1, 1, 1.0, 1.0),
    )
    assert configuration.max_pauses() == {"engines": 0.4}


def test_log_tells_the_prediction_only_if_it_was_used(case):
    fields = case.place().log_fields()
    assert fields["predicted_first_ms"] == 30
    assert fields["endpoint_ratio"] == 1.0
    assert 0.0 <= fields["expected_late"] < 0.01
    case.chooser.compare_by_prediction(False)
    assert "predicted_first_ms" not in case.place().log_fields()
