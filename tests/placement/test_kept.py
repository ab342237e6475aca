from __future__ import annotations

import pytest

from briarseam.forwarding import calls
from briarseam.placement import fetch_leases
from briarseam.placement import kept
from briarseam.placement import store_index
from briarseam.routes import model
from tests import clocks

SALT = "m/1/"


def store(address, capacity=10_000):
    return model.StoreTraits(address, "a", capacity, 1000.0, 0.001, True)


def parts(*names):
    return [calls.PromptPart(name, 100) for name in names]


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def index(clock):
    new_index = kept.KeptIndex(clock)
    new_index.set_stores([store("s1"), store("s2")])
    for address in ("s1", "s2"):
        new_index.apply_content(address, store_index.Content(1, 0, ()))
    return new_index


def report_parts(index, address, *names, salt=SALT, epoch=1):
    events = tuple(store_index.PartEvent(salt, name, 100) for name in names)
    return index.apply_changes(
        address, store_index.Changes(epoch, 9, False, events)
    )


def test_part_is_fetched_only_once_it_is_complete(index):
    """Guards against fetching a part while it is being written.

    Half of it would be garbage.
    """
    plan = index.plan(SALT, parts("a"))
    assert plan.fetch_from == ("",)
    index.record_saves(SALT, parts("a"), plan.save_to)
    assert index.plan(SALT, parts("a")) == kept.TransferPlan(("",), ("",), 0)
    report_parts(index, plan.save_to[0], "a")
    assert index.plan(SALT, parts("a")).fetch_from == plan.save_to


def test_parts_after_a_missing_one_are_not_fetched(index):
    report_parts(index, "s1", "a", "c")
    plan = index.plan(SALT, parts("a", "b", "c"))
    assert plan.fetch_from == ("s1", "", "")
    assert plan.fetched_tokens == 100
    assert plan.save_to[1] in ("s1", "s2")
    assert plan.save_to[2] == ""


def test_parts_of_other_weights_or_organisations_are_not_fetched(index):
    report_parts(index, "s1", "a", salt="m/1/north")
    assert index.plan(SALT, parts("a")).fetch_from == ("",)
    assert index.plan("m/2/", parts("a")).fetch_from == ("",)


def test_restarted_store_is_not_fetched_from(index):
    """Guards against fetching parts that a restarted store has lost.

    The store lost power and is empty.  A part that is being written again
    would still be known as complete.
    """
    report_parts(index, "s1", "a")
    assert not report_parts(index, "s1", epoch=2)
    assert index.plan(SALT, parts("a")).fetch_from == ("",)
    index.apply_content(
        "s1",
        store_index.Content(2, 5, (store_index.PartEvent(SALT, "b", 100),)),
    )
    assert index.plan(SALT, parts("b")).fetch_from == ("s1",)


def test_store_whose_events_were_lost_is_read_again(index):
    report_parts(index, "s1", "a")
    assert not index.apply_changes("s1", store_index.Changes(1, 9, True, ()))
    assert index.plan(SALT, parts("a")).fetch_from == ("",)


def test_unreadable_store_is_neither_fetched_from_nor_saved_to(index):
    report_parts(index, "s1", "a")
    index.mark_unreadable("s1")
    index.mark_unreadable("s2")
    plan = index.plan(SALT, parts("a", "b"))
    assert plan.fetch_from == ("", "")
    assert plan.save_to == ("", "")


def test_nothing_is_saved_to_a_full_store(clock):
    new_index = kept.KeptIndex(clock)
    new_index.set_stores([store("s1", capacity=150)])
    new_index.apply_content("s1", store_index.Content(1, 0, ()))
    report_parts(new_index, "s1", "a")
    assert new_index.plan(SALT, parts("a", "b")).save_to == ("", "")


def test_failed_save_is_tried_again_at_the_only_store(clock):
    index = kept.KeptIndex(clock)
    index.set_stores([store("s1")])
    index.apply_content("s1", store_index.Content(1, 0, ()))
    plan = index.plan(SALT, parts("a"))
    assert plan.save_to == ("s1",)
    index.record_saves(SALT, parts("a"), plan.save_to)
    assert index.plan(SALT, parts("a")).save_to == ("",)
    clock.now_s += kept.SAVE_TIMEOUT_S + 0.1
    report_parts(index, "s1")
    assert index.plan(SALT, parts("a")).save_to == plan.save_to


def test_broken_save_is_forgotten_with_time_and_a_restart(index, clock):
    (first,) = index.plan(SALT, parts("a")).save_to
    index.record_saves(SALT, parts("a"), (first,))
    clock.now_s += kept.SAVE_TIMEOUT_S + 0.1
    index.forget_old()
    assert index.broken_saves
    index.apply_content(first, store_index.Content(2, 0, ()))
    assert not index.broken_saves
    index.record_saves(SALT, parts("a"), (first,))
    clock.now_s += kept.SAVE_TIMEOUT_S + 0.1
    index.forget_old()
    clock.now_s += kept.BROKEN_SAVE_S
    index.forget_old()
    assert not index.broken_saves


def test_save_that_broke_off_is_tried_at_another_store(index, clock):
    """Guards against a part that never becomes complete.

    A store keeps what an interrupted save has written and rejects a new one.
    """
    first = index.plan(SALT, parts("a")).save_to
    index.record_saves(SALT, parts("a"), first)
    clock.now_s += kept.SAVE_TIMEOUT_S + 0.1
    for address in ("s1", "s2"):
        report_parts(index, address)
    (second,) = index.plan(SALT, parts("a")).save_to
    assert second in {"s1", "s2"} - set(first)


def test_unconfirmed_content_is_not_fetched(index, clock):
    """Guards against fetching half-written parts after a suspension.

    A store loses power while the instance is suspended, and is being written
    again.  The instance resumes and places a prompt before it receives any
    update of the store.
    """
    report_parts(index, "s1", "a")
    assert index.plan(SALT, parts("a")).fetch_from == ("s1",)
    clock.now_s += kept.MAX_AGE_S + 0.1
    plan = index.plan(SALT, parts("a", "b"))
    assert plan.fetch_from == ("", "")
    assert plan.save_to == ("", "")


def test_dropped_part_is_not_fetched_and_frees_its_space(index):
    report_parts(index, "s1", "a")
    index.apply_changes(
        "s1",
        store_index.Changes(
            1, 9, False, (store_index.PartEvent(SALT, "a", 0),)
        ),
    )
    assert index.plan(SALT, parts("a")).fetch_from == ("",)
    assert index.stores["s1"].used == 0


def test_parts_are_kept_only_at_allowed_stores(index):
    """Guards against KV cache that leaves the regions of its prompt."""
    report_parts(index, "s1", "p")
    for allowed in ("s1", "s2"):
        plan = index.plan(
            SALT,
            parts("p", "q"),
            lambda traits, allowed=allowed: traits.address == allowed,
        )
        assert plan.fetch_from == ("s1" if allowed == "s1" else "", "")
        assert set(plan.save_to) <= {allowed, ""}


def test_nothing_is_saved_soon_to_a_store_that_has_restarted(index, clock):
    """Guards against a fetch that was planned before the restart.

    It would take what is being written now.
    """
    index.apply_content("s1", store_index.Content(2, 0, ()))
    index.apply_content("s2", store_index.Content(2, 0, ()))
    clock.now_s += kept.RESTART_WAIT_S - 0.1
    report_parts(index, "s1", epoch=2)
    report_parts(index, "s2", epoch=2)
    assert index.plan(SALT, parts("a")).save_to == ("",)
    clock.now_s += 0.2
    assert index.plan(SALT, parts("a")).save_to != ("",)


def test_store_whose_content_is_read_again_is_saved_to(index):
    index.apply_content("s1", store_index.Content(1, 9, ()))
    index.apply_content("s2", store_index.Content(1, 9, ()))
    assert index.plan(SALT, parts("a")).save_to != ("",)


def test_wait_for_a_restarted_store_covers_all_fetches_planned_before():
    fetches_s = kept.MAX_AGE_S + fetch_leases.FETCH_LIMIT_S
    assert fetches_s < kept.RESTART_WAIT_S
