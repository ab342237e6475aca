from __future__ import annotations

import pytest

from briarseam.discovery import model
from briarseam.discovery import software
from briarseam.forwarding import calls
from briarseam.forwarding import stream_origins
from briarseam.metrics import registry
from briarseam.origins import memory
from tests import clocks
from tests.discovery import fakes


class Exchange:
    """Origins that other instances know."""

    def __init__(self):
        self.known = {}

    def store(self, stream, origin):
        self.known[stream] = origin

    def find(self, stream):
        return self.known.get(stream)


class Records:
    """Streams that are recorded while they run."""

    def __init__(self):
        self.running = {}

    def note_begun(self, stream, origin):
        self.running[stream] = origin

    def note_ended(self, stream):
        self.running.pop(stream, None)


class Entries:
    """Entries of endpoints whose software is sure, or not."""

    def __init__(self):
        self.sure = True

    def software_of(self, endpoint):
        return endpoint.software if self.sure else None


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def reads():
    return fakes.Reads()


@pytest.fixture
def history(clock, reads):
    return software.SoftwareHistory(list, reads, clock)


@pytest.fixture
def origins(history):
    counters = registry.Registry().counters("a_total", "", ("known_from",))
    return stream_origins.StreamOrigins(
        Exchange(), history, Entries(), Records(), counters
    )


def endpoint(version, service="engines"):
    return model.Endpoint("e", service, "1.1.1.1:1", "a", 8, software=version)


def call(name, resumes="", last_event_id=None):
    return calls.Call(
        name,
        "POST",
        "/x",
        "h",
        (),
        last_event_id=last_event_id,
        resumes=resumes,
    )


def test_version_is_found_by_the_request_that_began_the_stream(origins):
    origins.record(call("first"), endpoint("v1"))
    assert origins.find(call("second", "first"), "engines") == "v1"
    origins.record(call("second", "first"), endpoint("v1"))
    assert "second" not in origins.exchange.known
    assert origins.taken_up.labelled("origin").value == 1


def test_version_that_is_not_sure_is_not_recorded(origins):
    origins.entries.sure = False
    assert origins.record(call("first"), endpoint("v1")) is None
    assert origins.exchange.known == {}
    assert origins.records.running == {}


def test_stream_is_recorded_while_it_runs(origins):
    origins.record(call("first"), endpoint("v1"))
    origins.record(call("second", "first"), endpoint("v1"))
    assert origins.records.running == {"first": memory.Origin("engines", "v1")}
    origins.record_end(call("second", "first"))
    assert origins.records.running == {}


def test_id_that_is_too_long_is_not_stored(origins):
    """Guards against ids that fill the memory of all instances."""
    stream = "x" * (memory.MAX_ID_CHARACTERS + 1)
    assert origins.record(call(stream), endpoint("v1")) == "v1"
    assert origins.exchange.known == {}
    assert origins.records.running == {}


def test_stream_of_another_service_is_not_continued(origins, history, clock):
    """Guards against a route that moved to a service with one version."""
    history.record_entry(endpoint("v1", "moved"))
    clock.now_s += software.LOOKBACK_S
    history.record_entry(endpoint("v1", "moved"))
    origins.exchange.known["first"] = memory.Origin("engines", "v1")
    assert origins.find(call("second", "first"), "moved") is None
    assert origins.taken_up.labelled("other-service").value == 1


def test_unknown_stream_is_continued_where_there_is_one_version(
    origins, history, clock
):
    history.record_entry(endpoint("v1"))
    assert origins.find(call("second", "lost"), "engines") is None
    clock.now_s += software.LOOKBACK_S
    history.record_entry(endpoint("v1"))
    assert origins.find(call("second", "lost"), "engines") == "v1"
    history.record_entry(endpoint("v2"))
    assert origins.find(call("second", "lost"), "engines") is None


def test_stream_that_names_no_request_is_served_by_the_only_version(
    origins, history
):
    unnamed = call("second", last_event_id="3")
    history.record_entry(endpoint("v1"))
    assert origins.find(unnamed, "engines") == "v1"
    history.record_entry(endpoint("v2"))
    assert origins.find(unnamed, "engines") is None


@pytest.mark.parametrize("resumes", ["lost", ""])
def test_stream_is_not_continued_before_all_entries_are_read(
    origins, history, reads, clock, resumes
):
    """Guards against a version that has joined since the last read."""
    history.record_entry(endpoint("v1"))
    clock.now_s += software.LOOKBACK_S
    history.record_entry(endpoint("v1"))
    reads.until_s = clock.now_s - 0.001
    taken_up = call("second", resumes, last_event_id="3")
    assert origins.find(taken_up, "engines") is None
    reads.until_s = clock.now_s
    assert origins.find(taken_up, "engines") == "v1"


def test_version_that_is_read_during_the_wait_counts(
    origins, history, reads, clock, monkeypatch
):
    """Guards against the versions that were known before the wait."""
    history.record_entry(endpoint("v1"))
    clock.now_s += software.LOOKBACK_S
    history.record_entry(endpoint("v1"))

    def read(until_s, timeout_s):
        history.record_entry(endpoint("v2"))
        return True

    monkeypatch.setattr(reads, "await_complete", read)
    assert origins.find(call("second", "lost"), "engines") is None


def test_suspension_during_the_wait_hides_no_version(
    origins, history, reads, clock, monkeypatch
):
    """Guards against a version that is old only once the wait has ended."""
    history.record_entry(endpoint("v1"))
    clock.now_s += software.LOOKBACK_S
    history.record_entry(endpoint("v1"))

    def read(until_s, timeout_s):
        history.record_entry(endpoint("v2"))
        clock.now_s += 2 * software.LOOKBACK_S
        history.record_entry(endpoint("v1"))
        return True

    monkeypatch.setattr(reads, "await_complete", read)
    assert origins.find(call("second", "lost"), "engines") is None


def test_gap_in_the_reads_during_the_wait_hides_no_version(
    origins, history, reads, clock, monkeypatch
):
    """Guards against a version whose entries were missed meanwhile."""
    history.record_entry(endpoint("v1"))
    clock.now_s += software.LOOKBACK_S
    history.record_entry(endpoint("v1"))

    def read(until_s, timeout_s):
        reads.continuous_since_s = clock.now_s
        return True

    monkeypatch.setattr(reads, "await_complete", read)
    assert origins.find(call("second", "lost"), "engines") is None


def test_stream_whose_origin_is_known_waits_for_no_read(origins, reads):
    """Guards against streams that are refused without the store."""
    reads.until_s = float("-inf")
    origins.exchange.known["first"] = memory.Origin("engines", "v1")
    assert origins.find(call("second", "first"), "engines") == "v1"
    assert reads.waits_s == []
