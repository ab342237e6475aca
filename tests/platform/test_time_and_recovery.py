"""Forwarded deadlines, readiness, and recovery after outages."""

from __future__ import annotations

import http.client
import socket
import time

from briarseam.testing import waiting

DEADLINE_MS = 3000
DELAY_MS = 600
# Additional wait of a caller, which endpoints must not use.
SLACK_MS = 500
TIMEOUT_S = 10
PLAIN = ("plain-1", "plain-2")


def deadlines(system):
    """Return the forwarded deadlines, longest first."""
    arrived = [
        request for name in PLAIN for request in system.workers[name].arrived
    ]
    return sorted(
        (int(request.headers["deadline-ms"]) for request in arrived),
        reverse=True,
    )


def test_second_endpoint_gets_the_remaining_time(system):
    """Guards against forwarding the original deadline to a second endpoint.

    The first endpoint rejects the request after 0.6 s.  With the original
    deadline, the second one would work on after the caller has left.
    """
    for name in PLAIN:
        system.workers[name].set(delay_ms=DELAY_MS, reject=1)
    system.call("/status/x", "GET", Deadline_Ms=str(DEADLINE_MS))
    first, second = deadlines(system)
    assert first <= DEADLINE_MS
    assert second <= DEADLINE_MS - DELAY_MS


def test_request_without_a_deadline_gets_its_routes_timeout(system):
    system.call("/status/x", "GET")
    assert 0 < deadlines(system)[0] <= 3000 + SLACK_MS


def test_request_with_an_expired_deadline_reaches_no_endpoint(system):
    """Guards against forwarding a request whose deadline has passed.

    The caller sends its body slowly.  Forwarded, the request would run
    although its caller has left, and would be answered as possibly run.
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


def test_instance_stays_ready_and_serves_while_the_store_is_unavailable(
    system,
):
    """Guards against readiness that depends on the store.

    An instance that is not ready during an outage of the store would lose
    its callers although it has all necessary data.
    """
    system.store.set(outage=True)
    feeds = system.node.feeds.followers
    waiting.until(lambda: not any(feed.available for feed in feeds), TIMEOUT_S)
    url = system.url("readiness", "/briarseam/readyz")
    assert system.http.request("GET", url).status == 200
    assert system.call("/submit/x").status == 200


def test_instance_serves_again_after_a_restart_of_all_instances(system):
    """All instances lose power at once; only the store keeps its data."""
    system.node.stop()
    system.start()
    assert system.call("/submit/x").status == 200
    assert system.stream("/draft/x").status == 200


def test_instance_started_in_an_outage_serves_once_the_store_is_back(
    cold_system,
):
    """All instances lose power during an outage of the store."""
    cold_system.add_worker("plain-1", "portal")
    cold_system.configure()
    cold_system.store.set(outage=True)
    cold_system.launch()
    assert cold_system.call("/submit/x").status == 503
    cold_system.store.set(outage=False)
    waiting.until(
        lambda: cold_system.call("/submit/x").status == 200, TIMEOUT_S
    )
