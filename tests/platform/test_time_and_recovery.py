"""Time that is handed on, readiness, and the return after a loss of all."""

from __future__ import annotations

import http.client
import socket
import time

from briarseam.testing import waiting

DEADLINE_MS = 3000
DELAY_MS = 600
# A caller's own wait on top, in which an endpoint must not work on.
SLACK_MS = 500
PATIENCE_S = 10
PLAIN = ("plain-1", "plain-2")


def deadlines(system):
    """Return the time that was handed on, by order of arrival."""
    arrived = [
        request for name in PLAIN for request in system.workers[name].arrived
    ]
    return sorted(
        (int(request.headers["deadline-ms"]) for request in arrived),
        reverse=True,
    )


def test_second_endpoint_is_given_what_is_left_of_the_time(system):
    """The first endpoint turns a request away after 0.6 s.

    Given the whole time again, the second one would work on for as long
    after the caller has left.
    """
    for name in PLAIN:
        system.workers[name].set(delay_ms=DELAY_MS, reject=1)
    system.call("/status/x", "GET", Deadline_Ms=str(DEADLINE_MS))
    first, second = deadlines(system)
    assert first <= DEADLINE_MS
    assert second <= DEADLINE_MS - DELAY_MS


def test_request_without_a_deadline_is_given_its_routes_time(system):
    system.call("/status/x", "GET")
    assert 0 < deadlines(system)[0] <= 3000 + SLACK_MS


def test_request_that_has_no_time_left_reaches_no_endpoint(system):
    """A caller is slow to send its body, and its deadline passes meanwhile.

    Sent on, a booking would run for nobody, and its caller be told that it
    may have run.
    """
    listen = system.node.settings.listen.callers
    with socket.create_connection((listen.ip, listen.port)) as sock:
        sock.sendall(
            b"POST /submit/x HTTP/1.1\r\nHost: kitchens.example\r\n"
            b"Request-Id: slow\r\nAuthorization: Bearer key-of-north\r\n"
            b"Deadline-Ms: 50\r\nContent-Length: 2\r\n\r\n"
        )
        time.sleep(0.2)
        sock.sendall(b"{}")
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        assert answer.status == 503
    assert not any(system.workers[name].ran for name in PLAIN)


def test_instance_stays_ready_and_serves_while_the_store_is_away(system):
    """The platform's store is down for a while.

    An instance that was not ready meanwhile would lose its callers, though
    it knows all that it needs.
    """
    system.store.set(outage=True)
    feeds = system.node.feeds.followers
    waiting.until(
        lambda: not any(feed.available for feed in feeds), PATIENCE_S
    )
    url = system.url("readiness", "/briarseam/readyz")
    assert system.http.request("GET", url).status == 200
    assert system.call("/submit/x").status == 200


def test_instance_serves_again_after_all_were_lost(system):
    """All instances lose power at once; only the store remembers."""
    system.node.stop()
    system.start()
    assert system.call("/submit/x").status == 200
    assert system.stream("/draft/x").status == 200


def test_instance_that_starts_in_an_outage_serves_when_the_store_is_back(
    cold_system,
):
    """All instances lose power while the store is down."""
    cold_system.add_worker("plain-1", "portal")
    cold_system.configure()
    cold_system.store.set(outage=True)
    cold_system.begin()
    assert cold_system.call("/submit/x").status == 503
    cold_system.store.set(outage=False)
    waiting.until(
        lambda: cold_system.call("/submit/x").status == 200, PATIENCE_S
    )
