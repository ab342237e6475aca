from __future__ import annotations

import pytest

from briarseam.forwarding import calls
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
    made = kept.KeptIndex(clock)
    made.set_stores([store("s1"), store("s2")])
    for address in ("s1", "s2"):
        made.apply_content(address, store_index.Content(1, 0, ()))
    return made


def whole(index, address, *names, salt=SALT, epoch=1):
    events = tuple(store_index.PartEvent(salt, name, 100) for name in names)
    return index.apply_changes(
        address, store_index.Changes(epoch, 9, False, events)
    )


def test_part_is_fetched_only_once_it_is_whole(index):
    """A part is being written to a store when the next request for it
    comes.  Fetched now, half of it would be garbage.
    """
    plan = index.plan(SALT, parts("a"))
    assert plan.fetch_from == ("",)
    index.record_saves(SALT, parts("a"), plan.save_to)
    assert index.plan(SALT, parts("a")) == kept.TransferPlan(("",), ("",), 0)
    whole(index, plan.save_to[0], "a")
    assert index.plan(SALT, parts("a")).fetch_from == plan.save_to


def test_parts_behind_a_missing_one_are_not_fetched(index):
    whole(index, "s1", "a", "c")
    plan = index.plan(SALT, parts("a", "b", "c"))
    assert plan.fetch_from == ("s1", "", "")
    assert plan.fetched_tokens == 100
    assert plan.save_to[1] in ("s1", "s2")
    assert plan.save_to[2] == ""


def test_parts_of_other_weights_or_organisations_are_not_fetched(index):
    whole(index, "s1", "a", salt="m/1/north")
    assert index.plan(SALT, parts("a")).fetch_from == ("",)
    assert index.plan("m/2/", parts("a")).fetch_from == ("",)


def test_store_that_started_anew_is_not_fetched_from(index):
    """A store loses power and comes back empty.  Its parts are written
    again; one that is written just now looks as whole as before.
    """
    whole(index, "s1", "a")
    assert not whole(index, "s1", epoch=2)
    assert index.plan(SALT, parts("a")).fetch_from == ("",)
    index.apply_content(
        "s1",
        store_index.Content(2, 5, (store_index.PartEvent(SALT, "b", 100),)),
    )
    assert index.plan(SALT, parts("b")).fetch_from == ("s1",)


def test_store_whose_events_were_lost_is_read_anew(index):
    whole(index, "s1", "a")
    assert not index.apply_changes("s1", store_index.Changes(1, 9, True, ()))
    assert index.plan(SALT, parts("a")).fetch_from == ("",)


def test_store_that_does_not_answer_is_neither_read_nor_written(index):
    whole(index, "s1", "a")
    index.mark_unreadable("s1")
    index.mark_unreadable("s2")
    plan = index.plan(SALT, parts("a", "b"))
    assert plan.fetch_from == ("", "")
    assert plan.save_to == ("", "")


def test_nothing_is_saved_where_there_is_no_room(clock):
    made = kept.KeptIndex(clock)
    made.set_stores([store("s1", capacity=150)])
    made.apply_content("s1", store_index.Content(1, 0, ()))
    whole(made, "s1", "a")
    assert made.plan(SALT, parts("a", "b")).save_to == ("", "")


def test_save_that_came_to_nothing_is_tried_again(index, clock):
    plan = index.plan(SALT, parts("a"))
    index.record_saves(SALT, parts("a"), plan.save_to)
    clock.now_s += kept.SAVE_TIMEOUT_S + 0.1
    for address in ("s1", "s2"):
        whole(index, address)
    assert index.plan(SALT, parts("a")).save_to == plan.save_to


def test_save_that_broke_off_is_tried_at_another_store(index, clock):
    """Guards against a part that is never whole: a store keeps what broke
    off of it and takes no other.
    """
    first = index.plan(SALT, parts("a")).save_to
    index.record_saves(SALT, parts("a"), first)
    clock.now_s += kept.SAVE_TIMEOUT_S + 0.1
    for address in ("s1", "s2"):
        whole(index, address)
    (second,) = index.plan(SALT, parts("a")).save_to
    assert second in {"s1", "s2"} - set(first)


def test_content_that_was_long_not_confirmed_is_not_fetched(index, clock):
    """A machine is suspended, and a store loses power meanwhile.

    The machine wakes up and places a prompt before it hears of any store.
    The store is being written anew; what it held before is fetched from
    what is half written.
    """
    whole(index, "s1", "a")
    assert index.plan(SALT, parts("a")).fetch_from == ("s1",)
    clock.now_s += kept.MAX_AGE_S + 0.1
    plan = index.plan(SALT, parts("a", "b"))
    assert plan.fetch_from == ("", "")
    assert plan.save_to == ("", "")


def test_dropped_part_is_not_fetched_and_its_room_is_free(index):
    whole(index, "s1", "a")
    index.apply_changes(
        "s1",
        store_index.Changes(
            1, 9, False, (store_index.PartEvent(SALT, "a", 0),)
        ),
    )
    assert index.plan(SALT, parts("a")).fetch_from == ("",)
    assert index.stores["s1"].used == 0
