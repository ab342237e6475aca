from __future__ import annotations

import dataclasses

import pytest

from briarseam import verdict
from briarseam.discovery import model as discovery
from briarseam.forwarding import calls
from briarseam.placement import avoidance
from briarseam.placement import chooser as choosers
from briarseam.placement import fetching
from briarseam.placement import loads
from briarseam.placement import requests
from briarseam.placement import store_index
from briarseam.routes import model as routes
from briarseam.weights import engine_weights
from briarseam.weights import goals
from tests import clocks

MODEL = "m"
SERVICE = routes.Service(
    "engines",
    engine=routes.EngineTraits((MODEL,), 8, 100_000, 1000.0, 1000.0),
)


class Case:
    def __init__(self, engines=3):
        self.clock = clocks.ManualClock()
        self.required = 0
        self.known_weights = engine_weights.EngineWeights(
            goals.GoalHistory(), self.clock
        )
        self.endpoints = [
            discovery.Endpoint(
                f"e{number}",
                "engines",
                f"127.0.0.1:{number}",
                "a",
                8,
                versions={MODEL: 1},
            )
            for number in range(engines)
        ]
        self.chooser = choosers.Chooser(
            lambda service: list(self.endpoints),
            lambda model: self.required,
            self.known_weights,
            clock=self.clock,
        )

    def request(self, tokens=1000, session="s", **changes):
        prompt = calls.Prompt(
            MODEL,
            tokens,
            100,
            (
                calls.PromptPart(session, tokens // 2),
                calls.PromptPart("own", tokens - tokens // 2),
            ),
        )
        values = {
            "call": calls.Call("r", "POST", "/", "h", (), prompt=prompt),
            "route": routes.Route(
                "draft",
                "h",
                "/",
                routes.Repeat.STREAM,
                (routes.Share("engines"),),
                15.0,
                0.8,
                2,
                priority=2,
                resumable=True,
            ),
            "service": SERVICE,
            "organisation": routes.Organisation("north"),
            "target_remaining_s": 0.8,
        }
        return requests.Request(**(values | changes))

    def place(self, **changes):
        return self.chooser.choose(self.request(**changes))

    def run(self, **changes):
        request = self.request(**changes)
        placement = self.chooser.choose(request)
        added = self.chooser.record_start(placement, request.call)
        running = self.chooser.record_first_event(
            placement, request, added, 0.1
        )
        return placement, running


@pytest.fixture
def case():
    return Case()


def test_session_stays_with_the_engine_that_holds_its_prompt(case):
    first, added = case.run(tokens=20_000)
    case.chooser.record_end(first, case.request().call, added)
    repeated = case.place(tokens=20_000)
    assert repeated.endpoint == first.endpoint
    assert repeated.held_tokens == 20_000


def test_sessions_are_spread_over_all_engines(case):
    chosen = {
        case.place(session=f"s{number}").endpoint.id for number in range(60)
    }
    assert chosen == {"e0", "e1", "e2"}


def test_busy_engine_is_skipped(case):
    home = case.place().endpoint
    for _ in range(3):
        case.run(tokens=15_000)
    assert len({case.run(tokens=15_000)[0].endpoint for _ in range(3)}) > 1
    assert case.chooser.loads.of(home.id).running < 7


def test_engine_without_a_free_slot_is_skipped(case):
    """Guards against prompts that wait for a slot while others are free.

    Small prompts of one session fill the slots of the engine that holds it,
    while its memory has space for more.
    """
    home, _added = case.run(tokens=2000)
    for _ in range(3 * home.endpoint.slots - 1):
        case.run(tokens=2000)
    requests_at = case.chooser.loads.of(home.endpoint.id).requests
    assert requests_at <= home.endpoint.slots


def test_prompts_do_not_queue_for_slots_at_engines(case):
    """Guards against answers that are all late while all slots are taken."""
    engines = len(case.endpoints)
    for _ in range(engines * SERVICE.engine.slots):
        case.run(tokens=100)
    full = case.place(tokens=100)
    assert isinstance(full, requests.NoCapacity)
    assert "free-slots=0" in str(full)
    assert isinstance(
        case.place(tokens=100, partly_answered=True), requests.Placement
    )


def test_engine_that_has_room_first_is_named(case):
    """Guards against a reservation at an engine that stays full longer."""
    for number, tokens in enumerate((95_000, 91_000, 99_000)):
        load = loads.Load(requests=1, memory_tokens=tokens)
        case.chooser.loads.add(f"e{number}", load)
    full = case.place(tokens=20_000)
    assert full.soonest == "e1"
    assert full.free_slots == 21


def test_engine_with_old_weights_is_not_kept_free(case):
    """Guards against an engine that idles for a prompt that it must not
    take.
    """
    case.required = 2
    assert case.place().soonest == ""


def test_least_loaded_of_many_engines_is_not_always_chosen():
    """Guards against instances that all choose the same idle engine.

    Of thirty engines only one was idle one second ago; in that second, each
    instance would send all its requests there.
    """
    case = Case(engines=30)
    for endpoint in case.endpoints[1:]:
        load = loads.Load(requests=4, running=4, waiting_tokens=20_000)
        case.chooser.loads.add(endpoint.id, load)
    idle = case.endpoints[0].id
    chosen = [
        case.place(session=f"s{number}").endpoint.id for number in range(90)
    ]
    assert 3 <= chosen.count(idle) <= 25


def test_further_engines_are_compared_when_the_first_are_full():
    case = Case(engines=30)
    for endpoint in case.endpoints[1:]:
        full = loads.Load(requests=4, running=4, memory_tokens=100_000)
        case.chooser.loads.add(endpoint.id, full)
    chosen = {
        case.place(tokens=9000, session=f"s{number}").endpoint.id
        for number in range(30)
    }
    assert chosen == {case.endpoints[0].id}


def test_prompts_beyond_the_engines_memory_are_not_placed(case):
    """Guards against preemption on engines whose memory is full.

    Preempted runs prefill their prompts again, which slows all runs, so that
    memory stays full.
    """
    admitted = 0
    while isinstance(case.place(tokens=20_000), requests.Placement):
        case.run(tokens=20_000)
        admitted += 1
    assert admitted == 3 * 4
    assert isinstance(case.place(tokens=20_000), requests.NoCapacity)
    assert isinstance(case.place(tokens=2000), requests.Placement)


def test_small_prompt_does_not_take_memory_that_a_large_one_waits_for(case):
    """Guards against serving the smallest prompts of a route first."""
    for tokens in (20_000, 20_000, 20_000, 2000):
        case.chooser.record_arrival(case.request(tokens=tokens))
    while isinstance(case.place(tokens=20_000), requests.Placement):
        case.run(tokens=20_000)
    assert isinstance(case.place(tokens=2000), requests.NoCapacity)
    other = dataclasses.replace(case.request().route, name="question")
    assert isinstance(case.place(tokens=2000, route=other), requests.Placement)


def test_prompt_that_no_engine_can_hold_is_refused_at_once(case):
    """Guards against sending a prompt that every engine rejects."""
    case.chooser.record_arrival(case.request(tokens=1000))
    refused = case.place(tokens=SERVICE.engine.cache_tokens + 1)
    assert isinstance(refused, verdict.NotRun)
    assert refused.retry_after_s is None


def test_capacity_is_released_when_a_request_ends(case):
    runs = []
    while isinstance(case.place(tokens=20_000), requests.Placement):
        runs.append(case.run(tokens=20_000))
    placement, added = runs[0]
    case.chooser.record_end(placement, case.request().call, added)
    assert isinstance(case.place(tokens=20_000), requests.Placement)


def test_load_of_peers_is_counted(case):
    peer = Case()
    while isinstance(peer.place(tokens=20_000), requests.Placement):
        peer.run(tokens=20_000)
    case.chooser.loads.consume("peer", peer.chooser.loads.provide())
    assert isinstance(case.place(tokens=20_000), requests.NoCapacity)
    case.chooser.loads.keep_only(frozenset())
    assert isinstance(case.place(tokens=20_000), requests.Placement)


def test_tried_endpoint_is_not_chosen_again(case):
    first = case.place().endpoint.id
    assert case.place(tried=frozenset({first})).endpoint.id != first
    nowhere = case.place(tried=frozenset({"e0", "e1", "e2"}))
    assert isinstance(nowhere, verdict.NotRun)
    assert nowhere.reason is verdict.Reason.NO_ENDPOINT


def test_failed_endpoint_is_avoided_for_a_while(case):
    home = case.place().endpoint.id
    case.chooser.avoided.add(home)
    assert case.place().endpoint.id != home
    case.clock.now_s += avoidance.AVOID_S
    assert case.place().endpoint.id == home


def test_engine_that_is_changing_weights_is_not_chosen(case):
    home = case.place().endpoint.id
    case.known_weights.begin_change(home)
    assert case.place().endpoint.id != home
    case.known_weights.end_change(home)
    assert case.place().endpoint.id == home


def test_instructions_name_the_weight_version(case):
    """Guards against using parts computed with other weights.

    An engine may change its weights between the choice and the arrival of a
    request; parts fetched with the old salt must not be used then.
    """
    placement = case.place()
    assert placement.instructions.version == 1
    assert placement.instructions.salt == "m/1/"
    for endpoint in case.endpoints:
        case.known_weights.record_version(endpoint.id, MODEL, 2)
    assert case.place().instructions.salt == "m/2/"
    assert case.place().instructions.version == 2


def test_log_tells_the_salt_of_a_prompt(case):
    placement = case.place()
    salt = placement.instructions.salt
    assert salt and placement.log_fields()["cache_salt"] == salt


def test_isolated_organisation_has_its_own_salt(case):
    isolate(case, "south")
    placement = case.place(organisation=routes.Organisation("south"))
    assert placement.instructions.salt == "m/1/south"


def test_organisation_is_isolated_while_its_request_waits(case):
    """Guards against the salt of the configuration at the arrival."""
    request = case.request(organisation=routes.Organisation("south"))
    assert case.chooser.choose(request).instructions.salt == "m/1/"
    isolate(case, "south")
    assert case.chooser.choose(request).instructions.salt == "m/1/south"


@pytest.mark.parametrize("isolated", ["north", "south"])
def test_placement_is_outdated_once_anybody_becomes_isolated(case, isolated):
    """Guards against a prompt that is sent with the salt of before."""
    request = case.request(organisation=routes.Organisation("north"))
    placement = case.chooser.choose(request)
    assert case.chooser.is_current(placement, request)
    isolate(case, isolated)
    assert not case.chooser.is_current(placement, request)
    isolate(case, isolated)
    assert case.chooser.is_current(case.chooser.choose(request), request)


def isolate(case, *names):
    """Put a configuration in force that isolates organisations."""
    case.chooser.sharing.apply(
        routes.Configuration(
            2, (), {}, {}, routes.CallerLimits(), frozenset(names)
        )
    )


@pytest.mark.parametrize(
    ("organisation", "priority"),
    [
        pytest.param(routes.Organisation("a"), 2, id="route"),
        pytest.param(routes.Organisation("a", 0), 0, id="organisation"),
        pytest.param(routes.Organisation("a", 30), 9, id="maximum"),
    ],
)
def test_priority_of_the_organisation_overrides_the_routes(
    case, organisation, priority
):
    placement = case.place(organisation=organisation)
    assert placement.instructions.priority == priority


def test_unshared_part_is_neither_fetched_nor_saved(case):
    case.chooser.kept_index.set_stores(
        [routes.StoreTraits("s:1", "a", 10**6, 1.0, 0.0, True)]
    )
    case.chooser.kept_index.apply_content("s:1", store_index.Content(1, 0, ()))
    placement = case.place()
    assert placement.instructions.save_to == ("s:1", "")
    assert placement.instructions.fetch_from == ("", "")


def test_request_without_prompt_goes_to_the_least_loaded_endpoint(case):
    plain = dataclasses.replace(SERVICE, engine=None)
    call = calls.Call("r", "POST", "/", "h", ())
    request = case.request(service=plain, call=call)
    chosen = []
    for _ in range(3):
        placement = case.chooser.choose(request)
        case.chooser.record_start(placement, call)
        chosen.append(placement.endpoint.id)
    assert sorted(chosen) == ["e0", "e1", "e2"]


def test_engine_with_outdated_weights_is_not_chosen(case):
    """Guards against answers on weights that were replaced long ago.

    A rollout is late because its holder was lost twice.
    """
    case.required = 2
    assert isinstance(case.place(), requests.NoCapacity)
    case.known_weights.record_version("e2", MODEL, 2)
    assert case.place().endpoint.id == "e2"


def test_partly_answered_request_is_placed_even_if_memory_is_full(case):
    """Guards against breaking off streams that another engine can resume.

    An engine fails while the memory of all others is full.
    """
    while isinstance(case.place(tokens=20_000), requests.Placement):
        case.run(tokens=20_000)
    resumed = case.place(tokens=20_000, partly_answered=True)
    assert isinstance(resumed, requests.Placement)


STORE = "10.0.0.9:1"


@pytest.fixture
def case_with_store(case):
    """A case whose store keeps the shared part of the session's prompts."""
    chooser = case.chooser
    chooser.kept_index.set_stores(
        [routes.StoreTraits(STORE, "a", 10**6, 140_000.0, 0.006, True)]
    )
    salt = case.place().instructions.salt
    part = store_index.PartEvent(salt, "s", 500)
    chooser.kept_index.apply_content(STORE, store_index.Content(1, 0, (part,)))
    return case


def test_fetch_is_told_when_to_end(case_with_store):
    """Guards against a part that is freed while it is fetched."""
    chooser = case_with_store.chooser
    clocks = chooser.kept_index.endpoint_clocks
    chooser.prompts.end_of_fetch = lambda model, version: clocks.clock() + 5.0
    clocks.record(STORE, 100_000.0)
    instructions = case_with_store.place().instructions
    assert STORE in instructions.fetch_from
    assert instructions.fetch_until_ms == pytest.approx(105_000.0)


def test_nothing_is_fetched_while_the_clock_of_stores_is_unknown(
    case_with_store,
):
    """Guards against a fetch whose end the endpoint can't be told."""
    chooser = case_with_store.chooser
    chooser.prompts.end_of_fetch = lambda model, version: 5.0
    assert STORE not in case_with_store.place().instructions.fetch_from


def test_nothing_is_fetched_without_a_lease(case_with_store):
    """Guards against a part that another instance is about to free."""
    chooser = case_with_store.chooser
    chooser.prompts.end_of_fetch = lambda model, version: None
    chooser.kept_index.endpoint_clocks.record(STORE, 100_000.0)
    assert STORE not in case_with_store.place().instructions.fetch_from


def record_late_fetch(case):
    placement = case.place()
    assert STORE in placement.instructions.fetch_from
    added = case.chooser.record_start(placement, case.request().call)
    late_s = placement.fetch_late_s + 0.5
    running = case.chooser.record_first_event(
        placement, case.request(), added, late_s
    )
    case.chooser.record_end(placement, case.request().call, running)
    case.chooser.residency.keep_only(())


def test_prompts_do_not_fetch_from_a_slow_store(case_with_store):
    """Guards against fetches that delay all other prompts of an engine.

    A store's link is slow for five seconds.
    """
    for _ in range(fetching.LATE_LIMIT):
        record_late_fetch(case_with_store)
    placement = case_with_store.place()
    assert placement.sources() == frozenset()
    assert not any(placement.instructions.save_to)
    assert placement.prefill_tokens == 1000
    case_with_store.clock.now_s += fetching.RETRY_INTERVAL_S
    tried = case_with_store.place()
    added = case_with_store.chooser.record_start(
        tried, case_with_store.request().call
    )
    assert case_with_store.place().sources() == frozenset()
    case_with_store.chooser.record_first_event(
        tried, case_with_store.request(), added, 0.1
    )
    assert case_with_store.place().sources() == {STORE}


def test_nothing_is_saved_to_a_slow_store(case_with_store):
    """Guards against saves that delay fetches.

    An engine's saves and fetches share one queue.
    """
    assert STORE in case_with_store.place(session="other").instructions.save_to
    for _ in range(fetching.LATE_LIMIT):
        record_late_fetch(case_with_store)
    assert not any(case_with_store.place(session="other").instructions.save_to)
