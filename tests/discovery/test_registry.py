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


def decode_with_address(key, data):
    """Decode an entry that consists of an address."""
    return model.Endpoint(key, "portal", data.decode(), "a", 1)


def test_new_endpoint_replaces_the_one_that_had_its_address(clock, gone):
    """Guards against requests to a start that is gone: a restarted endpoint
    has a new name, and the entry of its former start lapses seconds later.
    """
    endpoints = registry.EndpointRegistry(
        decode_with_address, gone.update, clock
    )
    endpoints.apply_all([change("a", b"1.1.1.1:1"), change("b", b"1.1.1.1:2")])
    endpoints.apply_changes([change("c", b"1.1.1.1:1")])
    assert ids(endpoints) == ["b", "c"]
    assert gone == {"a"}


def test_late_entry_of_a_former_start_does_not_replace_the_new_one(
    clock, gone
):
    endpoints = registry.EndpointRegistry(
        decode_with_address, gone.update, clock
    )
    endpoints.apply_all([change("a", b"1.1.1.1:1"), change("c", b"1.1.1.1:1")])
    endpoints.apply_changes([change("a", b"1.1.1.1:1")])
    assert ids(endpoints) == ["a", "c"]
    assert gone == set()


def test_leaving_endpoint_is_not_serving_but_not_gone(endpoints, gone):
    endpoints.apply_all([change("a"), change("b")])
    endpoints.apply_changes([change("a", b"leaving")])
    assert ids(endpoints) == ["b"]
    assert gone == set()


def test_endpoint_whose_entry_is_deleted_is_gone(endpoints, gone):
    endpoints.apply_all([change("a"), change("b")])
    endpoints.apply_changes([change("a", None)])
    assert ids(endpoints) == ["b"]
    assert gone == {"a"}


def test_endpoint_missing_from_all_entries_is_gone(endpoints, gone):
    endpoints.apply_all([change("a"), change("b")])
    endpoints.apply_all([change("b")])
    assert gone == {"a"}


def test_endpoints_whose_entries_lapse_in_an_outage_are_held(
    endpoints, gone, clock
):
    """Guards against a service without endpoints after an outage.

    When the store is available again, all entries have expired, and
    endpoints need two seconds to write theirs again.
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


def test_endpoint_whose_entry_lapses_long_after_an_outage_is_gone(
    endpoints, gone, clock
):
    endpoints.apply_all([change("a")])
    endpoints.store_lost()
    clock.now_s += registry.LAPSE_HOLD_S + 0.1
    endpoints.apply_changes([change("a", None)])
    assert gone == {"a"}
    assert ids(endpoints) == []


def test_lapsed_endpoint_that_was_leaving_is_not_serving(endpoints, clock):
    endpoints.apply_all([change("a", b"leaving")])
    endpoints.store_lost()
    endpoints.apply_changes([change("a", None)])
    assert ids(endpoints) == []


def test_former_start_of_a_restarted_endpoint_is_gone(endpoints, gone):
    """Guards against outdated state of an endpoint that restarted.

    If it restarts before its entry expires, the entry only changes, and
    what was known of its cache would be kept although that is now empty.
    """
    endpoints.apply_all([change("a@5"), change("b@5")])
    endpoints.apply_changes([change("a@6")])
    assert ids(endpoints) == ["a@6", "b@5"]
    assert gone == {"a@5"}


def test_former_start_of_a_lapsed_and_restarted_endpoint_is_gone(
    endpoints, gone
):
    endpoints.apply_all([change("a@5")])
    endpoints.store_lost()
    endpoints.apply_changes([change("a", None), change("a@6")])
    assert ids(endpoints) == ["a@6"]
    assert gone == {"a@5"}


def test_lapsed_endpoint_is_held_as_its_new_start_after_a_call(
    endpoints, gone, clock
):
    """All entries have expired in an outage of the store.

    An engine that answers a call and reports a new start is running.
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


def test_start_that_is_not_newer_changes_nothing(endpoints, gone):
    endpoints.apply_all([change("a@5")])
    assert not endpoints.apply_start(starts.Start("a", 5))
    assert not endpoints.apply_start(starts.Start("a", 4))
    assert not endpoints.apply_start(starts.Start("unknown", 4))
    assert gone == set()


def test_first_entry_with_a_start_time_counts_as_a_restart(endpoints, gone):
    """Guards against state of an earlier start that reported no start time.

    An entry without a start time may be of any start, so the state recorded
    with it may be that of a start before the first known one.
    """
    endpoints.apply_all([change("a")])
    endpoints.apply_changes([change("a@5")])
    assert ids(endpoints) == ["a@5"]
    assert gone == {"a"}
    endpoints.apply_changes([change("a", b"leaving")])
    assert gone == {"a"}
    assert endpoints.ids() == {"a@5"}


def test_answer_that_says_leaving_holds_whatever_entries_say(endpoints):
    """Guards against entries from before the answer, or of a store that
    returned from an older copy.
    """
    endpoints.apply_all([change("a"), change("b")])
    assert endpoints.apply_leaving(starts.Start("a"))
    assert not endpoints.apply_leaving(starts.Start("a"))
    assert ids(endpoints) == ["b"]
    endpoints.apply_changes([change("a")])
    endpoints.apply_all([change("a"), change("b")])
    assert ids(endpoints) == ["b"]


def test_leaving_by_an_answer_outlives_the_entry(endpoints):
    endpoints.apply_all([change("a"), change("b")])
    endpoints.apply_leaving(starts.Start("a"))
    endpoints.apply_changes([change("a", None)])
    endpoints.apply_all([change("a"), change("b")])
    assert ids(endpoints) == ["b"]


def test_leaving_may_be_known_before_the_entry(endpoints):
    """Guards against an instance that reads entries after peers' news."""
    endpoints.apply_leaving(starts.Start("a"))
    endpoints.apply_all([change("a")])
    assert ids(endpoints) == []
    assert [one.leaving for one in endpoints.all()] == [True]


def test_lapsed_endpoint_that_left_by_an_answer_is_not_serving(endpoints):
    endpoints.apply_all([change("a")])
    endpoints.store_lost()
    endpoints.apply_changes([change("a", None)])
    assert ids(endpoints) == ["a"]
    endpoints.apply_leaving(starts.Start("a"))
    assert ids(endpoints) == []


def test_new_start_of_an_endpoint_that_left_by_an_answer_serves(endpoints):
    endpoints.apply_all([change("a@5")])
    endpoints.apply_leaving(starts.Start("a", 5))
    assert ids(endpoints) == []
    endpoints.apply_changes([change("a@6")])
    assert ids(endpoints) == ["a@6"]


def test_leaving_of_a_former_start_changes_nothing(endpoints):
    """Guards against a late answer of a former start."""
    endpoints.apply_all([change("a@6")])
    endpoints.apply_leaving(starts.Start("a", 5))
    assert ids(endpoints) == ["a@6"]


def test_only_the_newest_leaving_starts_are_retained(endpoints, monkeypatch):
    monkeypatch.setattr(starts, "MAX_NAMES", 2)
    for name in "abc":
        endpoints.apply_leaving(starts.Start(name))
    assert list(endpoints.leaving.ids) == ["b", "c"]


def test_software_is_not_sure_while_entries_are_not_read(endpoints, clock):
    """Guards against a restart with other software during an outage."""
    endpoints.apply_all([change("a@1"), change("b")])
    restarting, replaced = sorted(
        endpoints.serving("portal"), key=lambda one: one.id
    )
    assert endpoints.software_of(restarting) == ""
    clock.now_s += 0.1
    endpoints.store_lost()
    assert endpoints.software_of(restarting) is None
    assert endpoints.software_of(replaced) == ""
    clock.now_s += 0.1
    endpoints.apply_changes([])
    assert endpoints.software_of(restarting) == ""
    clock.now_s += registry.MAX_SOFTWARE_AGE_S + 0.1
    assert endpoints.software_of(restarting) is None


def test_software_of_a_start_that_has_ended_is_not_sure(endpoints):
    endpoints.apply_all([change("a@1")])
    [known] = endpoints.serving("portal")
    endpoints.apply_start(starts.parse("a@2"))
    [restarted] = endpoints.serving("portal")
    assert endpoints.software_of(known) is None
    assert endpoints.software_of(restarted) is None


def test_start_is_known_until_its_entry_is_gone(endpoints):
    endpoints.apply_all([change("a"), change("b@1")])
    assert endpoints.is_known("a")
    assert endpoints.is_known("b@1")
    endpoints.apply_changes([change("a", None)])
    endpoints.apply_start(starts.parse("b@2"))
    assert not endpoints.is_known("a")
    assert not endpoints.is_known("b@1")


def test_start_whose_entry_lapsed_in_an_outage_is_known(endpoints, clock):
    endpoints.apply_all([change("a")])
    endpoints.store_lost()
    endpoints.apply_changes([change("a", None)])
    assert endpoints.is_known("a")
    assert endpoints.observed_s("a", 0.0) == 0.0
    clock.now_s += registry.LAPSE_HOLD_S
    endpoints.forget_lapsed()
    assert not endpoints.is_known("a")


def test_entry_is_observed_since_the_last_outage(endpoints, clock):
    """Guards against an entry that seems kept since the store was away."""
    endpoints.apply_all([change("a")])
    since_s = clock.now_s
    clock.now_s += 5.0
    endpoints.store_lost()
    clock.now_s += 2.0
    endpoints.apply_changes([])
    assert endpoints.observed_s("a", since_s) == pytest.approx(2.0)
    assert endpoints.observed_s("b", since_s) == 0.0
