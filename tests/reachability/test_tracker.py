from __future__ import annotations

from briarseam.reachability import tracker


def test_service_is_cut_off_once_all_its_endpoints_have_failed(
    endpoints, reachability
):
    first, second = endpoints.add("portal", 2)
    reachability.record_unreached(first)
    assert not reachability.is_cut_off("portal")
    assert reachability.reachable([first, second]) == [second]
    reachability.record_unreached(second)
    assert reachability.is_cut_off("portal")


def test_service_without_endpoints_is_not_cut_off(reachability):
    """Guards against a cut where a service has no endpoints at all."""
    assert not reachability.is_cut_off("portal")


def test_other_services_are_not_affected(endpoints, reachability):
    [only] = endpoints.add("portal", 1)
    endpoints.add("engines", 2)
    reachability.record_unreached(only)
    assert not reachability.is_cut_off("engines")
    assert reachability.unreachable == {"portal"}


def test_new_endpoint_ends_a_cut(endpoints, reachability):
    [only] = endpoints.add("portal", 1)
    reachability.record_unreached(only)
    endpoints.add("portal", 2)
    reachability.keep_only({"portal-0", "portal-1"})
    assert reachability.unreachable == frozenset()


def test_changes_are_published_once(endpoints, reachability):
    told = []
    reachability.on_change = lambda: told.append(reachability.unreachable)
    first, second = endpoints.add("portal", 2)
    for endpoint in (first, second, second):
        reachability.record_unreached(endpoint)
    reachability.record_reached(first)
    assert told == [{"portal"}, frozenset()]


def test_peers_learn_which_services_are_cut_off(
    endpoints, reachability, clock
):
    [only] = endpoints.add("portal", 1)
    reachability.record_unreached(only)
    peer = tracker.Reachability(endpoints.of, clock)
    peer.consume("one", reachability.provide())
    assert not peer.peer_has_path("one", "portal")
    assert peer.peer_has_path("one", "engines")
    assert peer.peer_has_path("unknown", "portal")
    assert peer.peers_without_path("portal") == 1
    reachability.record_reached(only)
    peer.consume("one", reachability.provide())
    assert peer.peer_has_path("one", "portal")


def test_service_is_silent_when_nothing_answers_for_a_second(
    reachability, clock
):
    """Guards against connections that hang, which fail only seconds later."""
    reachability.record_sent("portal")
    clock.now_s += 0.9
    reachability.record_sent("portal")
    assert not reachability.is_silent("portal")
    clock.now_s += 0.2
    assert reachability.is_silent("portal")
    assert reachability.services_in_doubt() == {"portal"}
    reachability.record_heard("portal")
    assert not reachability.is_silent("portal")


def test_all_services_are_in_doubt_while_one_is_cut_off(
    endpoints, reachability
):
    """Guards against a cut that shows at no service that limits rule out."""
    [only] = endpoints.add("engines", 1)
    endpoints.add("portal", 1)
    reachability.record_heard("portal")
    assert reachability.services_in_doubt() == set()
    reachability.record_unreached(only)
    assert reachability.services_in_doubt() == {"engines", "portal"}


def test_idle_service_is_not_silent(reachability, clock):
    reachability.record_sent("portal")
    reachability.record_heard("portal")
    clock.now_s += 100.0
    assert reachability.services_in_doubt() == set()


def test_peers_that_are_gone_are_forgotten(endpoints, reachability):
    """Guards against memory that grows with each instance that is replaced."""
    [only] = endpoints.add("portal", 1)
    reachability.record_unreached(only)
    reachability.consume("two", reachability.provide())
    reachability.keep_only_peers({"one"})
    assert reachability.unreachable_for_peers == {}
    assert reachability.peer_since_s == {}


def test_endpoints_that_are_gone_are_forgotten(endpoints, reachability):
    first, _second = endpoints.add("portal", 2)
    reachability.record_unreached(first)
    reachability.keep_only(set())
    assert reachability.failed == {}


def test_instance_has_all_paths_unless_it_has_told_otherwise(
    endpoints, reachability
):
    [only] = endpoints.add("portal", 1)
    assert reachability.has_all_paths("one", "one")
    reachability.record_unreached(only)
    reachability.consume("two", reachability.provide())
    found = [
        reachability.has_all_paths(name, "one")
        for name in ("one", "two", "three")
    ]
    assert found == [False, False, True]


def test_cut_off_alone_means_for_long_and_not_for_all(
    endpoints, reachability, clock
):
    """Guards against duties that all instances give up, or too soon."""
    [only] = endpoints.add("engines", 1)
    reachability.record_unreached(only)
    assert not reachability.is_cut_off_alone({"engines"}, {"two"})
    clock.now_s += tracker.LASTING_S
    assert reachability.is_cut_off_alone({"engines"}, {"two"})
    assert not reachability.is_cut_off_alone({"portal"}, {"two"})
    assert not reachability.is_cut_off_alone({"engines"}, set())
    reachability.consume("two", reachability.provide())
    assert not reachability.is_cut_off_alone({"engines"}, {"two"})
    reachability.record_reached(only)
    assert not reachability.is_cut_off_alone({"engines"}, {"three"})


def test_duties_of_a_cell_stay_away_from_instances_that_are_cut_off(
    endpoints, reachability, clock
):
    """Guards against a cell that reads stores through a lost path."""
    [only] = endpoints.add("engines", 1)
    members = ["one", "two", "three"]
    reachability.record_unreached(only)
    reachability.consume("two", reachability.provide())
    assert reachability.with_lasting_paths(members, "one") == members
    clock.now_s += tracker.LASTING_S
    assert reachability.with_lasting_paths(members, "one") == ["three"]
    reachability.consume("three", reachability.provide())
    clock.now_s += tracker.LASTING_S
    assert reachability.with_lasting_paths(members, "one") == members


def test_what_endpoints_that_are_gone_sent_is_forgotten(
    endpoints, reachability, clock
):
    [only] = endpoints.add("portal", 1)
    reachability.record_heard_from(only)
    assert reachability.heard_from_after(only, clock.now_s)
    reachability.keep_only(set())
    assert not reachability.heard_from_after(only, clock.now_s)
