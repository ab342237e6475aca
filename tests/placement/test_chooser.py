from __future__ import annotations

import dataclasses

import pytest

from briarseam import verdict
from briarseam.discovery import model as discovery
from briarseam.forwarding import calls
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
ENGINES = routes.Service(
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
            "service": ENGINES,
            "organisation": routes.Organisation("north"),
            "aim_left_s": 0.8,
        }
        return requests.Request(**(values | changes))

    def place(self, **changes):
        return self.chooser.choose(self.request(**changes))

    def run(self, **changes):
        request = self.request(**changes)
        placed = self.chooser.choose(request)
        added = self.chooser.record_start(placed, request.call)
        begun = self.chooser.record_first_event(placed, request, added, 0.1)
        return placed, begun


@pytest.fixture
def case():
    return Case()


def test_session_stays_with_the_engine_that_read_it(case):
    first, added = case.run(tokens=20_000)
    case.chooser.record_end(first, case.request().call, added)
    again = case.place(tokens=20_000)
    assert again.endpoint == first.endpoint
    assert again.held_tokens == 20_000


def test_sessions_are_spread_over_all_engines(case):
    chosen = {
        case.place(session=f"s{number}").endpoint.id for number in range(60)
    }
    assert chosen == {"e0", "e1", "e2"}


def test_busy_engine_is_passed_over(case):
    home = case.place().endpoint
    for _ in range(3):
        case.run(tokens=15_000)
    assert len({case.run(tokens=15_000)[0].endpoint for _ in range(3)}) > 1
    assert case.chooser.loads.of(home.id).running < 7


def test_engine_without_a_free_slot_is_passed_over(case):
    """Small prompts of one session fill the slots of the engine that holds
    it.  Its memory has room, so each further one waits there for a slot
    while other engines have some.
    """
    home, _added = case.run(tokens=2000)
    for _ in range(3 * home.endpoint.slots - 1):
        case.run(tokens=2000)
    requests_at = case.chooser.loads.of(home.endpoint.id).requests
    assert requests_at <= home.endpoint.slots


def test_prompts_do_not_queue_for_slots_at_engines(case):
    """Guards against late answers for all while every slot is taken."""
    engines = len(case.endpoints)
    for _ in range(engines * ENGINES.engine.slots):
        case.run(tokens=100)
    full = case.place(tokens=100)
    assert isinstance(full, requests.NoCapacity)
    assert "free-slots=0" in str(full)
    assert isinstance(
        case.place(tokens=100, partly_answered=True), requests.Placement
    )


def test_idlest_of_many_engines_is_not_everybodys_choice():
    """Thirty engines are busy and one is idle, as of a second ago.

    Each instance sends all that comes in this second to that one.
    """
    case = Case(engines=30)
    for endpoint in case.endpoints[1:]:
        work = loads.Load(requests=4, running=4, waiting_tokens=20_000)
        case.chooser.loads.add(endpoint.id, work)
    idle = case.endpoints[0].id
    chosen = [
        case.place(session=f"s{number}").endpoint.id for number in range(90)
    ]
    assert 3 <= chosen.count(idle) <= 25


def test_prompt_goes_on_to_further_engines_when_its_own_are_full():
    case = Case(engines=30)
    for endpoint in case.endpoints[1:]:
        full = loads.Load(requests=4, running=4, memory_tokens=100_000)
        case.chooser.loads.add(endpoint.id, full)
    chosen = {
        case.place(tokens=9000, session=f"s{number}").endpoint.id
        for number in range(30)
    }
    assert chosen == {case.endpoints[0].id}


def test_no_more_prompts_are_admitted_than_memory_holds(case):
    """All engines are full.  One more prompt makes them preempt runs and
    read prompts again, which slows all runs, so that memory stays full.
    """
    admitted = 0
    while isinstance(case.place(tokens=20_000), requests.Placement):
        case.run(tokens=20_000)
        admitted += 1
    assert admitted == 3 * 4
    assert isinstance(case.place(tokens=20_000), requests.NoCapacity)
    assert isinstance(case.place(tokens=2000), requests.Placement)


def test_small_prompt_of_a_kind_does_not_take_the_room_of_a_large_one(case):
    """Guards against serving the smallest prompts of a kind first."""
    for tokens in (20_000, 20_000, 20_000, 2000):
        case.chooser.record_arrival(case.request(tokens=tokens))
    while isinstance(case.place(tokens=20_000), requests.Placement):
        case.run(tokens=20_000)
    assert isinstance(case.place(tokens=2000), requests.NoCapacity)
    other = dataclasses.replace(case.request().route, name="question")
    assert isinstance(case.place(tokens=2000, route=other), requests.Placement)


def test_prompt_that_no_engine_can_hold_is_refused_at_once(case):
    """Guards against sends that every engine rejects."""
    case.chooser.record_arrival(case.request(tokens=1000))
    refused = case.place(tokens=ENGINES.engine.cache_tokens + 1)
    assert isinstance(refused, verdict.NotRun)
    assert refused.retry_after_s is None


def test_room_is_given_back_when_a_run_ends(case):
    runs = []
    while isinstance(case.place(tokens=20_000), requests.Placement):
        runs.append(case.run(tokens=20_000))
    placed, added = runs[0]
    case.chooser.record_end(placed, case.request().call, added)
    assert isinstance(case.place(tokens=20_000), requests.Placement)


def test_load_told_by_peers_counts(case):
    peer = Case()
    while isinstance(peer.place(tokens=20_000), requests.Placement):
        peer.run(tokens=20_000)
    case.chooser.loads.consume("peer", peer.chooser.loads.provide())
    assert isinstance(case.place(tokens=20_000), requests.NoCapacity)
    case.chooser.loads.keep_only(frozenset())
    assert isinstance(case.place(tokens=20_000), requests.Placement)


def test_endpoint_that_was_tried_is_not_tried_again(case):
    first = case.place().endpoint.id
    assert case.place(tried=frozenset({first})).endpoint.id != first
    nowhere = case.place(tried=frozenset({"e0", "e1", "e2"}))
    assert isinstance(nowhere, verdict.NotRun)
    assert nowhere.reason is verdict.Reason.NO_ENDPOINT


def test_endpoint_that_broke_off_is_avoided_for_a_while(case):
    home = case.place().endpoint.id
    case.chooser.avoid(home)
    assert case.place().endpoint.id != home
    case.clock.now_s += choosers.AVOID_S
    assert case.place().endpoint.id == home


def test_engine_that_is_being_changed_takes_no_work(case):
    home = case.place().endpoint.id
    case.known_weights.begin_change(home)
    assert case.place().endpoint.id != home
    case.known_weights.end_change(home)
    assert case.place().endpoint.id == home


def test_request_names_the_weights_of_its_engine(case):
    """An engine gets new weights between the choice and the arrival of a
    request.  What it fetches under the old weights' salt must not be used.
    """
    placed = case.place()
    assert placed.instructions.version == 1
    assert placed.instructions.salt == "m/1/"
    for endpoint in case.endpoints:
        case.known_weights.record_version(endpoint.id, MODEL, 2)
    assert case.place().instructions.salt == "m/2/"
    assert case.place().instructions.version == 2


def test_isolated_organisation_has_a_salt_of_its_own(case):
    placed = case.place(
        organisation=routes.Organisation("south", isolated=True)
    )
    assert placed.instructions.salt == "m/1/south"


@pytest.mark.parametrize(
    ("organisation", "priority"),
    [
        pytest.param(routes.Organisation("a"), 2, id="the-routes"),
        pytest.param(routes.Organisation("a", 0), 0, id="the-organisations"),
        pytest.param(routes.Organisation("a", 30), 9, id="at-most-nine"),
    ],
)
def test_organisations_priority_goes_before_the_routes(
    case, organisation, priority
):
    placed = case.place(organisation=organisation)
    assert placed.instructions.priority == priority


def test_own_part_of_a_prompt_is_neither_fetched_nor_saved(case):
    case.chooser.kept_index.set_stores(
        [routes.StoreTraits("s:1", "a", 10**6, 1.0, 0.0, True)]
    )
    case.chooser.kept_index.apply_content("s:1", store_index.Content(1, 0, ()))
    placed = case.place()
    assert placed.instructions.save_to == ("s:1", "")
    assert placed.instructions.fetch_from == ("", "")


def test_plain_requests_go_where_fewest_are(case):
    plain = dataclasses.replace(ENGINES, engine=None)
    call = calls.Call("r", "POST", "/", "h", ())
    request = case.request(service=plain, call=call)
    chosen = []
    for _ in range(3):
        placed = case.chooser.choose(request)
        case.chooser.record_start(placed, call)
        chosen.append(placed.endpoint.id)
    assert sorted(chosen) == ["e0", "e1", "e2"]


def test_engine_with_weights_that_are_too_old_takes_no_work(case):
    """A rollout is late, since its holder was lost twice.  Requests would
    begin on weights that were replaced long ago.
    """
    case.required = 2
    assert isinstance(case.place(), requests.NoCapacity)
    case.known_weights.record_version("e2", MODEL, 2)
    assert case.place().endpoint.id == "e2"


def test_rest_of_a_begun_answer_is_made_even_where_memory_is_full(case):
    """An engine dies while all others are full.  Its streams can go on at
    another engine; refused there, callers would see them break off.
    """
    while isinstance(case.place(tokens=20_000), requests.Placement):
        case.run(tokens=20_000)
    begun = case.place(tokens=20_000, partly_answered=True)
    assert isinstance(begun, requests.Placement)


STORE = "10.0.0.9:1"


@pytest.fixture
def keeping(case):
    """A store that keeps the shared part of the session's prompts."""
    chooser = case.chooser
    chooser.kept_index.set_stores(
        [routes.StoreTraits(STORE, "a", 10**6, 140_000.0, 0.006, True)]
    )
    salt = case.place().instructions.salt
    part = store_index.PartEvent(salt, "s", 500)
    chooser.kept_index.apply_content(STORE, store_index.Content(1, 0, (part,)))
    return case


def fetch_late(case):
    placed = case.place()
    assert STORE in placed.instructions.fetch_from
    added = case.chooser.record_start(placed, case.request().call)
    late_s = placed.fetch_late_s + 0.5
    begun = case.chooser.record_first_event(
        placed, case.request(), added, late_s
    )
    case.chooser.record_end(placed, case.request().call, begun)
    case.chooser.residency.keep_only(())


def test_prompts_are_read_while_a_store_is_slow(keeping):
    """A store's link is slow for five seconds; each prompt that fetches
    from it holds up all others of its engine.
    """
    for _ in range(fetching.LATE_LIMIT):
        fetch_late(keeping)
    placed = keeping.place()
    assert placed.sources() == frozenset()
    assert not any(placed.instructions.save_to)
    assert placed.prefill_tokens == 1000
    keeping.clock.now_s += fetching.RETRY_INTERVAL_S
    tried = keeping.place()
    added = keeping.chooser.record_start(tried, keeping.request().call)
    assert keeping.place().sources() == frozenset()
    keeping.chooser.record_first_event(tried, keeping.request(), added, 0.1)
    assert keeping.place().sources() == {STORE}


def test_nothing_is_saved_to_a_slow_store(keeping):
    """What is sent to a slow store to be saved goes through the same queue
    of its engine as what others fetch.
    """
    assert STORE in keeping.place(session="other").instructions.save_to
    for _ in range(fetching.LATE_LIMIT):
        fetch_late(keeping)
    assert not any(keeping.place(session="other").instructions.save_to)
