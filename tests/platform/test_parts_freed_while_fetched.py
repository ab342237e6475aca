"""Parts of replaced weights are freed once no fetch of them goes on."""

from __future__ import annotations

import threading
import time

import pytest

from briarseam.placement import fetch_leases
from briarseam.placement import sweeping
from briarseam.testing import waiting
from tests.platform import caching_engine
from tests.platform import isolation_case
from tests.platform import system as systems

# Longer than callers wait elsewhere, so that slow fetches are not cut off.
ROUTES = [route | {"timeoutMs": 20_000} for route in systems.ROUTES]
SLOW_FETCH_S = 7.0
TIMEOUT_S = 15.0
REVIEWS = 6
# Instances that have started fetch nothing before.
SETTLE_S = fetch_leases.START_WAIT_S + 4 * fetch_leases.RENEW_S


@pytest.fixture
def case(cold_system):
    """Three instances; a part is stored, and the engine doesn't hold it."""
    made = isolation_case.Case(cold_system, changes={"routes": ROUTES})
    made.play(isolation_case.Step())
    made.cache.clear()
    made.store.fetch_s = SLOW_FETCH_S
    time.sleep(SETTLE_S)
    return made


def begin_fetch(case):
    """Send a prompt whose fetch goes on; return the thread that waits.

    An instance that got no processor for a moment just before shares nothing,
    and its prompt is prefilled instead.
    """
    end_s = time.monotonic() + TIMEOUT_S
    while True:
        case.await_store()
        case.cache.clear()
        thread = threading.Thread(
            target=case.send, args=("kitchens", case.nodes[0]), daemon=True
        )
        thread.start()
        waiting.until(
            lambda thread=thread: case.store.fetching or not thread.is_alive(),
            TIMEOUT_S,
        )
        if case.store.fetching:
            return thread
        assert time.monotonic() < end_s, "no fetch began"


def name_weights(case, version):
    goal = {"model": systems.MODEL, "version": version}
    case.system.store.write("keyed.op", f"version/{systems.MODEL}", goal)


def change_weights(case):
    """The engine has new weights while a request of before goes on."""
    name_weights(case, 2)
    case.system.write_entry("engine-1", "engines", weights=2)


def lapse(case):
    """The engine's entry lapses, and it goes on; another has new weights."""
    name_weights(case, 2)
    # An engine of its own, so that the fetch stays the only one.
    other = caching_engine.PromptCache(case.uses, {})
    engine = caching_engine.CachingEngine("engine-2", other)
    case.system.add(engine, "engines", weights=2)
    case.system.store.write("keyed.servers", "engine-1", None)


@pytest.mark.parametrize("change", [change_weights, lapse])
def test_no_part_is_freed_while_it_is_fetched(case, change):
    """Guards against prompts that read memory which is not theirs any more."""
    thread = begin_fetch(case)
    change(case)
    thread.join(SLOW_FETCH_S + TIMEOUT_S)
    assert not thread.is_alive()
    assert case.store.broken == []


def test_parts_of_replaced_weights_are_freed_whatever_entries_say(case):
    """Guards against a store that fills up with what nobody can use.

    Entries may lag or be of another service.
    """
    name_weights(case, 2)
    key = ("drafts/1/", isolation_case.SHARED_PART)
    waiting.until(lambda: key in case.store.freed, 2 * TIMEOUT_S)
    assert key not in case.store.held


def test_part_whose_removal_is_never_told_is_freed_once(case):
    """Guards against a free at each review, which may meet a later save."""
    case.store.loses_removals = True
    change_weights(case)
    key = ("drafts/1/", isolation_case.SHARED_PART)
    waiting.until(lambda: key in case.store.freed, 2 * TIMEOUT_S)
    time.sleep(REVIEWS * sweeping.REVIEW_S)
    assert case.store.free_calls[key] == 1
