"""One instance on loopback, from a caller's request to its answer."""

from __future__ import annotations

import contextlib
import json
import socket

import pytest
import urllib3

from briarseam.testing import waiting
from tests.platform import system as systems

PATIENCE_S = 10


def all_workers(system, *names):
    return [system.workers[name] for name in names]


def arrivals(system, *names):
    return sum(len(worker.arrived) for worker in all_workers(system, *names))


def runs(system, *names):
    return sum(len(worker.ran) for worker in all_workers(system, *names))


PLAIN = ("plain-1", "plain-2")
ENGINES = ("engine-1", "engine-2")


def test_lookup_names_the_instance_to_callers_of_its_zone(system):
    waiting.until(lambda: system.node.instances.all(), PATIENCE_S)
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


def test_answer_comes_back_unchanged_with_the_signature(system):
    response = system.call("/submit/x?y=1")
    assert response.status == 200
    assert response.data.endswith(b" did it")
    assert response.headers["Response-Signature"]


def test_endpoint_gets_method_path_body_and_who_asks(system):
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
    """A caller sends a header that only the system may set, to pass for
    another organisation or to read its cache.  The endpoint must see the
    system's own value, or none.
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
def test_what_the_configuration_does_not_allow_runs_nowhere(
    system, path, key, status
):
    response = system.call(path, key=key)
    assert response.status == status
    assert json.loads(response.data)["ran"] == "no"
    assert arrivals(system, *PLAIN) == 0


def test_stream_is_passed_on_whole(system):
    response = system.stream("/draft/x")
    assert response.status == 200
    assert response.data.count(b"data: token") == 3
    assert response.headers["Content-Type"] == "text/event-stream"


def test_request_turned_away_goes_to_another_endpoint(system):
    """An endpoint is full and says that it has not run a submission.  The
    submission may go to the other endpoint, and runs once.
    """
    for worker in all_workers(system, *PLAIN):
        worker.set(reject=1)
    system.workers["plain-2"].set(reject=0)
    for _ in range(8):
        assert system.call("/submit/x").status == 200
    assert runs(system, *PLAIN) == 8


def test_refusal_by_all_endpoints_says_not_run_and_when_to_come_back(system):
    for worker in all_workers(system, *PLAIN):
        worker.set(reject=100)
    response = system.call("/submit/x")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0
    assert "Response-Signature" not in response.headers
    assert json.loads(response.data)["ran"] == "no"
    assert runs(system, *PLAIN) == 0


def test_submission_whose_answer_is_lost_is_not_sent_again(system):
    """A submission runs and the connection is reset before the answer.
    Sent to the other endpoint it would be filed twice; the caller is told
    that it may have run.
    """
    for worker in all_workers(system, *PLAIN):
        worker.set(reset=1)
    response = system.call("/submit/x")
    assert response.status == 502
    assert json.loads(response.data)["ran"] == "unknown"
    assert runs(system, *PLAIN) == 1


def test_submission_turned_away_once_and_then_lost_may_have_run(system):
    """One endpoint turns a submission away, the next runs it and its answer
    is lost.  Told "not run" for the first one's sake, its caller would file
    it again.
    """
    system.workers["plain-1"].set(reject=100)
    system.workers["plain-2"].set(reset=100)
    for _ in range(8):
        response = system.call("/submit/x")
        assert response.status == 502
        assert json.loads(response.data)["ran"] == "unknown"
    assert arrivals(system, "plain-1") > 0


@pytest.mark.parametrize("fault", ["unsigned", "foreign"])
def test_success_that_is_not_the_endpoints_own_is_no_success(system, fault):
    """An endpoint hands out bytes of another request, or bytes that it did
    not make.  The caller would take them for its own answer.
    """
    for worker in all_workers(system, *PLAIN):
        worker.set(**{fault: 1})
    response = system.call("/submit/x")
    assert response.status == 502
    assert runs(system, *PLAIN) == 1


def test_question_whose_answer_is_lost_is_asked_again(system):
    system.workers["plain-1"].set(reset=1)
    system.workers["plain-2"].set(reset=0)
    for _ in range(6):
        assert system.call("/status/x", method="GET", body=b"").status == 200


def test_failure_of_an_endpoint_reaches_the_caller_of_a_submission(system):
    for worker in all_workers(system, *PLAIN):
        worker.set(fail=1)
    response = system.call("/submit/x")
    assert response.status == 500
    assert response.headers["Response-Signature"]
    assert runs(system, *PLAIN) == 1


def test_broken_stream_goes_on_at_another_endpoint(system):
    """An engine dies in the middle of an event.  The caller sees one
    stream with each event once, its rest made by the other engine.
    """
    system.stream("/draft/x").read()
    (home,) = [name for name in ENGINES if runs(system, name)]
    system.workers[home].set(break_streams=1)
    answer = system.stream("/draft/x")
    events = [line for line in answer.data.split(b"\n") if b"data" in line]
    assert all(runs(system, name) for name in ENGINES)
    assert events == [b"data: token 1", b"data: token 2", b"data: token 3"]


def test_resumed_stream_leaves_no_load_behind(system):
    """A resumed stream's prompt was counted as unread until its end, so
    that its engine looked busier than it was.
    """
    system.stream("/draft/x").read()
    (home,) = [name for name in ENGINES if runs(system, name)]
    system.workers[home].set(break_streams=1)
    told = []
    loads = system.node.chooser.loads
    add = loads.add
    loads.add = lambda endpoint, load: (
        told.append((endpoint, load.running)),
        add(endpoint, load),
    )
    system.stream("/draft/x").read()
    begun = [endpoint for endpoint, running in told if running == 1]
    assert sorted(begun) == sorted(ENGINES)
    waiting.until(lambda: not loads.own, PATIENCE_S)


def test_broken_stream_that_must_not_be_resumed_does_not_look_whole(system):
    for worker in all_workers(system, *ENGINES):
        worker.set(break_streams=1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        system.stream("/draft/once/x")
    assert runs(system, *ENGINES) == 1


def test_no_answer_in_time_is_told_at_the_routes_timeout(system):
    """An endpoint hangs.  The caller is told at the route's timeout, not
    at its own deadline, and that the request may have run.
    """
    for worker in all_workers(system, *PLAIN):
        worker.set(hold=True)
    response = system.call("/submit/x", Deadline_Ms="200")
    assert response.status == 504
    assert json.loads(response.data)["ran"] == "unknown"


def test_work_ends_soon_after_its_caller_left(system):
    """A caller closes its connection while it waits.  An endpoint that
    works on for it has no time for others.
    """
    for worker in all_workers(system, *ENGINES):
        worker.set(hold=True)
    listen = system.node.settings.listen.callers
    sock = socket.create_connection((listen.ip, listen.port), PATIENCE_S)
    sock.sendall(
        b"POST /draft/x HTTP/1.1\r\nHost: kitchens.example\r\n"
        b"Request-Id: gone\r\nAuthorization: Bearer key-of-north\r\n"
        b"Model: drafts\r\nToken-Usage: 10,5\r\nPrefix-Hash: aa:10\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    waiting.until(lambda: runs(system, *ENGINES) == 1, PATIENCE_S)
    sock.close()
    waiting.until(lambda: system.node.in_flight.count == 0, PATIENCE_S)


def test_chunked_request_body_arrives_whole_and_the_next_request_works(
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
        socket.create_connection((listen.ip, listen.port), PATIENCE_S)
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


def test_ambiguous_framing_is_refused_and_runs_nowhere(system):
    """A caller hides a second request in the body of a first one whose
    length two parsers read differently.
    """
    listen = system.node.settings.listen.callers
    with contextlib.closing(
        socket.create_connection((listen.ip, listen.port), PATIENCE_S)
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


def test_changed_configuration_is_in_force_and_never_reverts(system):
    system.configure(version=9, routes=[])
    waiting.until(lambda: system.call("/submit/x").status == 404, PATIENCE_S)
    system.configure(version=5)
    system.configure(version=10, routes=[], tenants=[])
    waiting.until(
        lambda: system.node.feeds.configuration_version() == 10, PATIENCE_S
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
        PATIENCE_S,
    )
    for _ in range(4):
        assert system.call("/submit/x").status == 200
    assert arrivals(system, "plain-1") == 0


def test_work_is_refused_as_not_run_before_a_configuration_is_known(
    cold_system,
):
    """The store is away while an instance starts.  It must not guess that
    a route or a key does not exist.
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


def test_metrics_tell_of_requests(system):
    system.call("/submit/x")
    text = system.http.request("GET", system.url("metrics", "/metrics")).data
    assert b'answers_total{outcome="answered-200"} 1' in text
    assert b"answer_us_count 1" in text
