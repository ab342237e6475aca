"""Streams that endpoints break off, as callers get them."""

from __future__ import annotations

import itertools
import re

import pytest

from briarseam import clocks
from tests.platform import raw_answers
from tests.platform import steps
from tests.platform import system as systems

Cut = raw_answers.Cut
Ending = raw_answers.Ending
Framing = raw_answers.Framing

ENGINES = ("engine-1", "engine-2")
EVENTS = 3
PAUSE_MS = 300
VERSIONS = ("1.0", "1.1")


class Cuts:
    """Has the next answers of any endpoint cut short.

    Attributes
    ----------
    left
        How many.
    """

    def __init__(self) -> None:
        self.left = 0

    def take(self) -> bool:
        """Return whether to cut the next answer."""
        self.left -= 1
        return self.left >= 0


def receive(system, path, form, cuts, callers_version="1.1", **switches):
    """Return the answer to a request whose first runs are cut short."""
    counter = Cuts()
    counter.left = cuts
    for name in ENGINES:
        system.workers[name].takes_cut = counter.take
        system.workers[name].set(
            events=EVENTS,
            framing=form.framing,
            http_version=form.version,
            cut_at=form.cut,
            cut_by=form.ending,
            **switches,
        )
    system.node.chooser.avoided.by_id.clear()
    return system.receive(path, callers_version, **systems.PROMPT)


def endpoints_version(framing, version):
    """Return the version of an answer: HTTP/1.0 has no chunks."""
    return "1.1" if framing is Framing.CHUNKED else version


def forms(framing, version, cuts, endings):
    """Return the forms of a framing and a version of HTTP."""
    return [
        raw_answers.Form(framing, endpoints_version(framing, version), *form)
        for form in itertools.product(cuts, endings)
    ]


def endings_of(framing):
    """Return the ways in which a truncated answer can end."""
    if framing is Framing.CONNECTION:
        return (Ending.FIN, Ending.RESET)
    return tuple(Ending)


def events_before(system, cut):
    """Return the bytes of the events before a cut."""
    number = 0 if cut is Cut.IN_FIRST_EVENT else 1
    worker = system.workers["engine-1"]
    return b"".join(worker.event(n + 1) for n in range(number))


def whole_stream(system):
    """Return the bytes of all events."""
    worker = system.workers["engine-1"]
    return b"".join(worker.event(n + 1) for n in range(EVENTS))


def test_unframed_stream_that_ends_inside_an_event_is_not_complete(system):
    """Guards against taking the end of the connection for that of a stream."""
    form = raw_answers.Form(Framing.CONNECTION, cut=Cut.IN_LATER_EVENT)
    received = receive(system, "/draft/once/x", form, cuts=1)
    assert received.status == 200
    assert received.body == events_before(system, form.cut)
    assert not received.complete


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("framing", Framing)
def test_stream_that_ends_inside_an_event_is_broken_off(
    system, framing, version
):
    """Guards against relaying fragments of events, or repeating the run."""
    endings = endings_of(framing)
    for form in forms(framing, version, raw_answers.INSIDE_EVENTS, endings):
        received = receive(
            system, "/draft/once/x", form, cuts=1, callers_version=version
        )
        expected = events_before(system, form.cut)
        if expected:
            assert (received.status, received.body) == (200, expected), form
            assert not received.complete, form
        else:
            assert received.status == 502, form
    ran = [call for name in ENGINES for call in system.workers[name].ran]
    assert len(ran) == len(set(ran))


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize(
    ("framing", "cut"),
    [
        *itertools.product(Framing, (Cut.BEFORE_EVENTS, Cut.BETWEEN_EVENTS)),
        (Framing.CHUNKED, Cut.AFTER_EVENTS),
        (Framing.CONNECTION, Cut.AFTER_EVENTS),
    ],
)
def test_stream_that_ends_at_an_event_boundary_is_broken_off(
    system, framing, cut, version
):
    """Guards against ends that the framing or a reset shows to be early."""
    endings = (Ending.FIN, Ending.RESET)
    for form in forms(framing, version, (cut,), endings):
        if not raw_answers.is_noticed(form, is_stream=True):
            continue
        received = receive(
            system, "/draft/once/x", form, cuts=1, callers_version=version
        )
        if cut is Cut.BEFORE_EVENTS:
            assert received.status == 502, form
        else:
            assert received.status == 200, form
            assert not received.complete, form
            assert whole_stream(system).startswith(received.body), form


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("framing", Framing)
def test_resumed_stream_has_each_event_once(system, framing, version):
    """Guards against fragments before the events of the next run."""
    endings = endings_of(framing)
    for form in forms(framing, version, raw_answers.INSIDE_EVENTS, endings):
        received = receive(
            system, "/draft/x", form, cuts=1, callers_version=version
        )
        assert received.body == whole_stream(system), form
        assert received.complete, form


@pytest.mark.parametrize("line_end", ["\n", "\r\n", "\r"])
@pytest.mark.parametrize("framing", Framing)
def test_whole_stream_is_complete_with_any_line_end(system, framing, line_end):
    """Guards against taking a whole stream for a truncated one."""
    for version in VERSIONS:
        form = raw_answers.Form(framing, endpoints_version(framing, version))
        received = receive(
            system,
            "/draft/once/x",
            form,
            cuts=0,
            callers_version=version,
            line_end=line_end,
        )
        assert received.body == whole_stream(system)
        assert received.complete


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("cut", Cut)
def test_chunks_in_http_1_0_are_no_answer(system, cut, version):
    """Guards against a framing that the answer's version does not have."""
    for ending in Ending:
        form = raw_answers.Form(Framing.CHUNKED, "1.0", cut, ending)
        received = receive(
            system, "/draft/once/x", form, cuts=1, callers_version=version
        )
        assert received.status == 502, form
        assert b"data: " not in received.body, form
    ran = [call for name in ENGINES for call in system.workers[name].ran]
    assert len(ran) == len(set(ran))


@pytest.mark.parametrize("line_end", ["\n", "\r\n", "\r"])
def test_events_are_passed_on_as_they_arrive(system, line_end):
    """Guards against holding events back whose lines do not end with LF."""
    for name in ENGINES:
        system.workers[name].set(
            events=EVENTS, line_end=line_end, pause_ms=PAUSE_MS
        )
    received, (step,) = steps.receive(system, "/draft/x")
    assert received.complete
    first_event_ms = int(re.search(r"first=(\d+)ms", step)[1])
    assert first_event_ms < PAUSE_MS


def test_answer_of_another_type_is_not_split_into_events(system):
    """Guards against taking a plain body for a truncated stream."""
    for name in ENGINES:
        system.workers[name].set(
            content_type="text/plain", framing=Framing.LENGTH
        )
        system.workers[name].event = lambda number: f"line {number}".encode()
    received = system.receive("/draft/x", **systems.PROMPT)
    assert received.body == b"line 1line 2line 3"
    assert received.complete


def test_stream_without_ids_is_broken_off_instead_of_repeated(system):
    """Guards against a second run that sends all events again."""
    for worker in system.workers.values():
        worker.event = lambda number: f"data: token {number}\n\n".encode()
    form = raw_answers.Form(Framing.CHUNKED, cut=Cut.IN_LATER_EVENT)
    received = receive(system, "/draft/x", form, cuts=1)
    assert received.body == b"data: token 1\n\n"
    assert not received.complete
    assert sum(len(system.workers[name].ran) for name in ENGINES) == 1


def test_run_that_starts_over_is_not_joined_to_another(system):
    """Guards against events that come twice, from two runs."""
    for worker in system.workers.values():
        worker.numbers = lambda request: range(1, EVENTS + 1)
    form = raw_answers.Form(Framing.CHUNKED, cut=Cut.IN_LATER_EVENT)
    received = receive(system, "/draft/x", form, cuts=1)
    assert received.body == events_before(system, form.cut)
    assert not received.complete


def test_broken_stream_does_not_look_complete_without_chunks(system):
    """Guards against callers of HTTP/1.0 that take our close for the end."""
    form = raw_answers.Form(Framing.CHUNKED, cut=Cut.IN_LATER_EVENT)
    received = receive(
        system, "/draft/once/x", form, cuts=1, callers_version="1.0"
    )
    assert received.status == 200
    assert "transfer-encoding" not in received.headers
    assert received.body == events_before(system, form.cut)
    assert not received.complete


def test_events_show_that_their_endpoint_has_not_crashed(system):
    """Guards against condemning requests that a faulty endpoint cuts short."""
    form = raw_answers.Form(Framing.CONNECTION, cut=Cut.IN_LATER_EVENT)
    began_s = clocks.boot_clock()
    receive(system, "/draft/once/x", form, cuts=1)
    reachability = system.node.chooser.reachability
    (home,) = [name for name in ENGINES if system.workers[name].ran]
    engines = {one.id: one for one in system.node.feeds.registry.all()}
    assert reachability.heard_from_after(engines[home], began_s)
