from __future__ import annotations

import pytest

from briarseam.discovery import model
from briarseam.discovery import registry
from briarseam.discovery import starts
from briarseam.feeds import records
from tests import clocks


def decode(key, data):
    state, _, version = data.decode().partition("/")
    return model.Endpoint(
        id=key,
        service="portal",
        address="127.0.0.1:1",
        zone="a",
        slots=1,
        leaving=state == "leaving",
        versions={"m": int(version)} if version else {},
    )


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def gone():
    return set()


@pytest.fixture
def endpoints(clock, gone):
    return registry.EndpointRegistry(decode, gone.update, clock)


def change(key, value=b"ready"):
    return records.KeyedRecord(key, value)


def ids(endpoints):
    return sorted(item.id for item in endpoints.serving("portal"))


def test_leaving_endpoint_takes_no_work_but_is_not_gone(endpoints, gone):
    endpoints.apply_all([change("a"), change("b")])
    endpoints.apply_changes([change("a", b"leaving")])
    assert ids(endpoints) == ["b"]
    assert gone == set()


def test_endpoint_without_an_entry_is_gone(endpoints, gone):
    endpoints.apply_all([change("a"), change("b")])
    endpoints.apply_changes([change("a", None)])
    assert ids(endpoints) == ["b"]
    assert gone == {"a"}


def test_endpoint_missing_from_a_new_reading_is_gone(endpoints, gone):
    endpoints.apply_all([change("a"), change("b")])
    endpoints.apply_all([change("b")])
    assert gone == {"a"}


def test_entries_that_lapse_in_an_outage_are_kept_until_they_are_back(
    endpoints, gone, clock
):
    """The store is away for seconds.  On its return all entries have run
    out, and endpoints need two seconds to write theirs again.  Taken as
    gone, no request could be sent anywhere meanwhile.
    """
    endpoints.apply_all([change("a"), change("b")])
    endpoints.store_lost()
    clock.now_s += 0.5
    endpoints.apply_changes([change("a", None), change("b", None)])
    assert ids(endpoints) == ["a", "b"]
    endpoints.apply_changes([change("b")])
    assert ids(endpoints) == ["b"]
    clock.now_s += registry.LAPSE_HOLD_S
    endpoints.forget_lapsed()
    assert ids(endpoints) == ["b"]
    assert gone == {"a"}


def test_endpoint_that_vanishes_long_after_an_outage_is_gone_at_once(
    endpoints, gone, clock
):
    endpoints.apply_all([change("a")])
    endpoints.store_lost()
    clock.now_s += registry.LAPSE_HOLD_S + 0.1
    endpoints.apply_changes([change("a", None)])
    assert gone == {"a"}
    assert ids(endpoints) == []


def test_leaving_endpoint_whose_entry_lapses_takes_no_work(endpoints, clock):
    endpoints.apply_all([change("a", b"leaving")])
    endpoints.store_lost()
    endpoints.apply_changes([change("a", None)])
    assert ids(endpoints) == []


def test_endpoint_that_starts_again_ends_its_start_before(endpoints, gone):
    """An endpoint crashes and is back before its entry runs out.

    The entry only changed, so all that was known of the endpoint would
    stay, though it is empty now.
    """
    endpoints.apply_all([change("a@5"), change("b@5")])
    endpoints.apply_changes([change("a@6")])
    assert ids(endpoints) == ["a@6", "b@5"]
    assert gone == {"a@5"}


def test_endpoint_that_lapsed_and_starts_again_ends_its_start_before(
    endpoints, gone
):
    endpoints.apply_all([change("a@5")])
    endpoints.store_lost()
    endpoints.apply_changes([change("a", None), change("a@6")])
    assert ids(endpoints) == ["a@6"]
    assert gone == {"a@5"}


def test_lapsed_endpoint_whose_restart_a_call_shows_is_kept_as_that(
    endpoints, gone, clock
):
    """The store is away and all entries have run out; an engine answers a
    call and shows that it has started again, so it is there.
    """
    endpoints.apply_all([change("a@5", b"ready/7")])
    endpoints.store_lost()
    endpoints.apply_changes([change("a", None)])
    assert endpoints.apply_start(starts.Start("a", 6))
    (endpoint,) = endpoints.serving("portal")
    assert (endpoint.id, endpoint.versions) == ("a@6", {"m": 0})
    assert endpoints.ids() == {"a@6"}
    clock.now_s += registry.LAPSE_HOLD_S
    endpoints.forget_lapsed()
    assert gone == {"a@5", "a@6"}


def test_start_that_a_call_shows_again_ends_nothing(endpoints, gone):
    endpoints.apply_all([change("a@5")])
    assert not endpoints.apply_start(starts.Start("a", 5))
    assert not endpoints.apply_start(starts.Start("a", 4))
    assert not endpoints.apply_start(starts.Start("unknown", 4))
    assert gone == set()


def test_first_word_of_a_birth_begins_anew(endpoints, gone):
    """An entry without a birth may be of any start, so what was noted then
    may be of one before the first that is named.
    """
    endpoints.apply_all([change("a")])
    endpoints.apply_changes([change("a@5")])
    assert ids(endpoints) == ["a@5"]
    assert gone == {"a"}
    endpoints.apply_changes([change("a", b"leaving")])
    assert gone == {"a"}
    assert endpoints.ids() == {"a@5"}
