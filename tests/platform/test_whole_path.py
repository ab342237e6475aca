"""An instance on loopback, from a caller's request to its answer."""

from __future__ import annotations

import contextlib
import json
import socket

import pytest
import urllib3

from briarseam.testing import waiting
from tests.platform import system as systems

TIMEOUT_S = 10


def all_workers(system, *names):
    return [system.workers[name] for name in names]


def arrivals(system, *names):
    return sum(len(worker.arrived) for worker in all_workers(system, *names))


def runs(system, *names):
    return sum(len(worker.ran) for worker in all_workers(system, *names))


PLAIN = ("plain-1", "plain-2")
ENGINES = ("engine-1", "engine-2")


def test_lookup_returns_the_instance_to_callers_of_its_zone(system):
    waiting.until(lambda: system.node.instances.all(), TIMEOUT_S)
    response = system.http.request(
        "GET",
        system.url("lookups", "/briarseam/resolve?name=x&zone=hall-a"),
    )
    found = json.loads(response.data)
    assert found["addresses"] == [str(system.node.settings.listen.callers)]
    assert 0 < found["ttlS"] <= 5


def test_readiness_is_200_once_a_configuration_is_known(system):
    response = system.http.request(
        "GET", system.url("readiness", "/briarseam/readyz")
    )
    assert response.status == 200


def test_answer_is_returned_unchanged_with_its_signature(system):
    response = system.call("/submit/x?y=1")
    assert response.status == 200
    assert response.data.endswith(b" did it")
    assert response.headers["Response-Signature"]


def test_endpoint_gets_method_path_body_and_organisation(system):
    system.call("/submit/a%20b/?y=%2f1", body=b"filed", X_Own="kept")
    (arrived,) = [
        request
        for worker in all_workers(system, *PLAIN)
        for request in worker.arrived
    ]
    assert arrived.method == "POST"
    assert arrived.path == ("submit", "a b")
    assert arrived.query == {"y": "/1"}
    assert arrived.body == b"filed"
    assert arrived.headers["tenant"] == "north"
    assert arrived.headers["x-own"] == "kept"
    assert "authorization" not in arrived.headers


@pytest.mark.parametrize(
    "name",
    [
        "Tenant",
        "Cache_Salt",
        "Kv_Fetch",
        "Kv_Save",
        "Kv_From",
        "Kv_Backup",
        "Hold",
        "Pin_Ms",
        "Expect_Version",
        "Request_Priority",
    ],
)
def test_headers_that_the_system_sets_are_not_taken_from_callers(system, name):
    """Guards against callers that set a header of the system.

    A caller could act as another organisation or read its cache.  The
    endpoint must get the system's value, or none.
    """
    system.stream("/draft/x", **{name: "forged"}).read()
    (arrived,) = [
        request
        for worker in all_workers(system, *ENGINES)
        for request in worker.arrived
    ]
    assert arrived.headers.get(name.lower().replace("_", "-")) != "forged"


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        pytest.param("/nowhere/", systems.KEY, 404, id="no-route"),
        pytest.param("/submit/x", "stolen", 401, id="unknown-key"),
        pytest.param("/submit/x", "", 401, id="no-key"),
    ],
)
def test_request_not_allowed_by_the_configuration_is_refused(
    system, path, key, status
):
    response = system.call(path, key=key)
    assert response.status == status
    assert json.loads(response.data)["ran"] == "no"
    assert arrivals(system, *PLAIN) == 0


def test_stream_is_passed_on_completely(system):
    response = system.stream("/draft/x")
    assert response.status == 200
    assert response.data.count(b"data: token") == 3
    assert response.headers["Content-Type"] == "text/event-stream"


def test_rejected_request_goes_to_another_endpoint(system):
    """An endpoint rejects an unsafe request as not run.  The request goes to
    the other endpoint and runs once.
    """
    for worker in all_workers(system, *PLAIN):
        worker.set(reject=1)
    system.workers["plain-2"].set(reject=0)
    for _ in range(8):
        assert system.call("/submit/x").status == 200
    assert runs(system, *PLAIN) == 8


def test_rejection_by_all_endpoints_is_refused_with_retry_after(system):
    for worker in all_workers(system, *PLAIN):
        worker.set(reject=100)
    response = system.call("/submit/x")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0
    assert "Response-Signature" not in response.headers
    assert json.loads(response.data)["ran"] == "no"
    assert runs(system, *PLAIN) == 0


def test_unsafe_request_with_a_lost_answer_is_not_sent_again(system):
    """Guards against running an unsafe request twice.

    The request runs, and the connection is reset before the answer.  The
    caller is told that it may have run.
    """
    for worker in all_workers(system, *PLAIN):
        worker.set(reset=1)
    response = system.call("/submit/x")
    assert response.status == 502
    assert json.loads(response.data)["ran"] == "unknown"
    assert runs(system, *PLAIN) == 1


def test_unsafe_request_rejected_once_and_then_lost_may_have_run(system):
    """Guards against answering "not run" because of the first endpoint.

    One endpoint rejects an unsafe request, the next one runs it, and the
    answer is lost.  Told "not run", the caller would send it again.
    """
    system.workers["plain-1"].set(reject=100)
    system.workers["plain-2"].set(reset=100)
    for _ in range(8):
        response = system.call("/submit/x")
        assert response.status == 502
        assert json.loads(response.data)["ran"] == "unknown"
    assert arrivals(system, "plain-1") > 0


@pytest.mark.parametrize("fault", ["unsigned", "foreign"])
def test_unsigned_or_mismatched_success_is_an_error(system, fault):
    """Guards against returning the answer to another request.

    The answer has the id of another request or no signature.
    """
    for worker in all_workers(system, *PLAIN):
        worker.set(**{fault: 1})
    response = system.call("/submit/x")
    assert response.status == 502
    assert runs(system, *PLAIN) == 1


def test_safe_request_with_a_lost_answer_is_sent_again(system):
    system.workers["plain-1"].set(reset=1)
    system.workers["plain-2"].set(reset=0)
    for _ in range(6):
        assert system.call("/status/x", method="GET", body=b"").status == 200


def test_endpoint_failure_of_an_unsafe_request_is_returned(system):
    for worker in all_workers(system, *PLAIN):
        worker.set(fail=1)
    response = system.call("/submit/x")
    assert response.status == 500
    assert response.headers["Response-Signature"]
    assert runs(system, *PLAIN) == 1


def test_broken_stream_is_resumed_at_another_endpoint(system):
    """An engine crashes within an event.  The caller gets one stream with
    each event once; the other engine produces the rest.
    """
    system.stream("/draft/x").read()
    (home,) = [name for name in ENGINES if runs(system, name)]
    system.workers[home].set(break_streams=1)
    answer = system.stream("/draft/x")
    events = [line for line in answer.data.split(b"\n") if b"data" in line]
    assert all(runs(system, name) for name in ENGINES)
    assert events == [b"data: token 1", b"data: token 2", b"data: token 3"]


def test_resumed_stream_leaves_no_load_behind(system):
    """Guards against counting a resumed prompt as unread until it ends.

    Its engine would seem to have more load than it has.
    """
    system.stream("/draft/x").read()
    (home,) = [name for name in ENGINES if runs(system, name)]
    system.workers[home].set(break_streams=1)
    requested = []
    loads = system.node.chooser.loads
    add = loads.add
    loads.add = lambda endpoint, load: (
        requested.append((endpoint, load.running)),
        add(endpoint, load),
    )
    system.stream("/draft/x").read()
    started = [endpoint for endpoint, running in requested if running == 1]
    assert sorted(started) == sorted(ENGINES)
    waiting.until(lambda: not loads.own, TIMEOUT_S)


def test_broken_stream_that_is_not_resumable_ends_in_an_error(system):
    for worker in all_workers(system, *ENGINES):
        worker.set(break_streams=1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        system.stream("/draft/once/x")
    assert runs(system, *ENGINES) == 1


def test_missing_answer_is_reported_at_the_routes_timeout(system):
    """An endpoint does not answer.  The caller is answered at the route's
    timeout, not at its own deadline, that the request may have run.
    """
    for worker in all_workers(system, *PLAIN):
        worker.set(hold=True)
    response = system.call("/submit/x", Deadline_Ms="200")
    assert response.status == 504
    assert json.loads(response.data)["ran"] == "unknown"


def test_work_ends_soon_after_its_caller_left(system):
    """A caller closes its connection while it waits.  Further work for it
    would take capacity from other requests.
    """
    for worker in all_workers(system, *ENGINES):
        worker.set(hold=True)
    listen = system.node.settings.listen.callers
    sock = socket.create_connection((listen.ip, listen.port), TIMEOUT_S)
    sock.sendall(
        b"POST /draft/x HTTP/1.1\r\nHost: kitchens.example\r\n"
        b"Request-Id: gone\r\nAuthorization: Bearer key-of-north\r\n"
        b"Model: drafts\r\nToken-Usage: 10,5\r\nPrefix-Hash: aa:10\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    waiting.until(lambda: runs(system, *ENGINES) == 1, TIMEOUT_S)
    sock.close()
    waiting.until(lambda: system.node.in_flight.count == 0, TIMEOUT_S)


def test_chunked_body_arrives_complete_and_the_connection_is_reused(
    system,
):
    listen = system.node.settings.listen.callers
    head = (
        "POST /submit/x HTTP/1.1\r\nHost: kitchens.example\r\n"
        "Request-Id: {}\r\nAuthorization: Bearer key-of-north\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    body = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    with contextlib.closing(
        socket.create_connection((listen.ip, listen.port), TIMEOUT_S)
    ) as sock:
        for number in range(2):
            sock.sendall((head.format(number) + body).encode())
            assert b"200 OK" in sock.recv(65536)
    bodies = [
        request.body
        for worker in all_workers(system, *PLAIN)
        for request in worker.arrived
    ]
    assert bodies == [b"abcde", b"abcde"]


def test_ambiguous_framing_is_refused(system):
    """Guards against request smuggling.

    A second request is hidden in the body of a first one whose length two
    parsers determine differently.
    """
    listen = system.node.settings.listen.callers
    with contextlib.closing(
        socket.create_connection((listen.ip, listen.port), TIMEOUT_S)
    ) as sock:
        sock.sendall(
            b"POST /submit/x HTTP/1.1\r\nHost: kitchens.example\r\n"
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nPOST /submit/y HTTP/1.1\r\n\r\n"
        )
        answer = sock.recv(65536)
        assert answer.startswith(b"HTTP/1.1 400")
        assert sock.recv(65536) == b""
    assert arrivals(system, *PLAIN) == 0


def test_changed_configuration_is_applied_and_never_reverts(system):
    system.configure(version=9, routes=[])
    waiting.until(lambda: system.call("/submit/x").status == 404, TIMEOUT_S)
    system.configure(version=5)
    system.configure(version=10, routes=[], tenants=[])
    waiting.until(
        lambda: system.node.feeds.configuration_version() == 10, TIMEOUT_S
    )
    assert system.call("/submit/x").status == 404


def test_leaving_endpoint_gets_no_new_work(system):
    system.write_entry("plain-1", "portal", "draining")
    waiting.until(
        lambda: (
            [
                endpoint.id
                for endpoint in system.node.feeds.registry.serving("portal")
            ]
            == ["plain-2"]
        ),
        TIMEOUT_S,
    )
    for _ in range(4):
        assert system.call("/submit/x").status == 200
    assert arrivals(system, "plain-1") == 0


def test_work_is_refused_as_not_run_before_a_configuration_is_known(
    cold_system,
):
    """The store is unavailable while an instance starts.  The instance must
    not answer that a route or a key does not exist.
    """
    cold_system.store.set(outage=True)
    node = cold_system.node = systems.compose.Node(cold_system.settings())
    cold_system.stack.callback(node.stop)
    node.start()
    ready = cold_system.http.request(
        "GET", cold_system.url("readiness", "/briarseam/readyz")
    )
    assert ready.status == 503
    response = cold_system.call("/submit/x")
    assert response.status == 503
    assert json.loads(response.data)["ran"] == "no"
    assert float(response.headers["Retry-After"]) > 0


def test_metrics_count_requests(system):
    def scraped():
        url = system.url("metrics", "/metrics")
        return system.http.request("GET", url).data

    system.call("/submit/x")
    # A request is counted once its answer has been sent.
    waiting.until(lambda: b"answer_us_count 1" in scraped(), TIMEOUT_S)
    assert b'answers_total{outcome="answered-200"} 1' in scraped()
