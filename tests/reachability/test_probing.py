from __future__ import annotations

import pytest

from briarseam.reachability import probing
from briarseam.reachability import tracker
from briarseam.testing import waiting


@pytest.fixture
def prober(endpoints, reachability):
    return probing.Prober(reachability, endpoints.can_connect)


def test_first_failure_shows_whether_the_others_fail_too(
    endpoints, reachability, prober
):
    """Guards against requests that wait for one endpoint after the other."""
    first, *_others = endpoints.add("portal", 6)
    endpoints.cut("portal")
    reachability.record_unreached(first)
    prober.probe("portal")
    assert reachability.is_cut_off("portal")


def test_one_endpoint_that_fails_is_not_taken_for_a_cut(
    endpoints, reachability, prober
):
    first, *others = endpoints.add("portal", 3)
    endpoints.cut_off.add(first.id)
    reachability.record_unreached(first)
    prober.probe("portal")
    assert reachability.reachable([first, *others]) == others


def test_many_endpoints_are_not_all_probed(endpoints, reachability, prober):
    """Guards against thousands of connections when a large zone is cut."""
    first, *_others = endpoints.add("engines", 99)
    endpoints.cut("engines")
    reachability.record_unreached(first)
    prober.probe("engines")
    assert len(endpoints.probed) == probing.MAX_PROBES
    assert reachability.is_cut_off("engines")


def test_path_to_many_endpoints_is_back_with_the_first_that_answers(
    endpoints, reachability, prober
):
    endpoints.add("engines", 99)
    endpoints.cut("engines")
    reachability.record_service_unreached("engines")
    endpoints.cut_off.clear()
    prober.probe("engines")
    assert len(reachability.reachable(endpoints.of("engines"))) == 99


def test_while_others_answer_only_the_failed_endpoint_is_probed(
    endpoints, reachability, prober
):
    first, *_others = endpoints.add("portal", 3)
    endpoints.cut_off.add(first.id)
    reachability.record_unreached(first)
    reachability.record_heard("portal")
    prober.probe("portal")
    assert endpoints.probed == [first.id]


def test_half_of_many_endpoints_that_fail_are_not_taken_for_a_cut(
    endpoints, reachability, prober
):
    """Guards against a sample of failed endpoints that stands for all."""
    made = endpoints.add("engines", 99)
    failed = made[:50]
    endpoints.cut_off |= {one.id for one in failed}
    reachability.record_heard("engines")
    for endpoint in failed:
        reachability.record_unreached(endpoint)
    prober.probe("engines")
    assert not reachability.is_cut_off("engines")


def test_silent_service_is_probed_and_found_cut_off(
    endpoints, reachability, prober, clock
):
    """Guards against a cut during which old connections hang."""
    endpoints.add("portal", 3)
    endpoints.cut("portal")
    reachability.record_sent("portal")
    clock.now_s += tracker.SILENCE_S
    for service in reachability.services_in_doubt():
        prober.probe(service)
    assert reachability.is_cut_off("portal")


def test_slow_service_is_probed_once_in_a_while(
    endpoints, reachability, prober, clock
):
    endpoints.add("portal", 3)
    reachability.record_sent("portal")
    clock.now_s += tracker.SILENCE_S
    prober.probe("portal")
    assert not reachability.unreachable
    assert reachability.services_in_doubt() == set()


def test_prober_finds_the_path_back_by_itself(endpoints, reachability, prober):
    first, *_others = endpoints.add("portal", 2)
    endpoints.cut("portal")
    prober.start()
    try:
        reachability.record_unreached(first)
        wait_until(lambda: reachability.is_cut_off("portal"))
        endpoints.cut_off.clear()
        wait_until(lambda: not reachability.failed)
    finally:
        prober.stop()


def wait_until(condition):
    """Wait until something holds."""
    waiting.until(condition, 5.0)


def test_prober_goes_on_after_an_error(endpoints, reachability, prober):
    """Guards against endpoints that are never used again."""
    [only] = endpoints.add("portal", 1)
    reachability.record_unreached(only)
    errors = []

    def fail_once(service):
        if not errors:
            errors.append(service)
            raise RuntimeError("fault")
        return endpoints.of(service)

    reachability.endpoints = fail_once
    prober.start()
    try:
        wait_until(lambda: errors and not reachability.failed)
    finally:
        prober.stop()


def test_endpoint_in_doubt_is_checked_on_its_own(
    endpoints, reachability, prober
):
    """Guards against an endpoint whose end shows only as its entry goes."""
    first, second, _third = endpoints.add("portal", 3)
    reachability.record_heard("portal")
    endpoints.cut_off.add(first.id)
    reachability.doubt(first)
    reachability.doubt(second)
    prober.probe_all()
    waiting.until(lambda: reachability.has_failed(first))
    assert not reachability.has_failed(second)
    assert reachability.take_doubted() == []
