"""Malformed records of other writers in the topics of an instance."""

from __future__ import annotations

import msgspec
import pytest

from briarseam.testing import waiting

# Nested more deeply than the parsers of this process accept.
NESTED = b'{"x":' + b"[" * 100_000
BAD = [b"{}", b"\xff\xfe", b'"ready"', NESTED, b'{"service":"portal"}']
TIMEOUT_S = 10


def count(system, kind):
    """Return the metric of malformed items of one kind."""
    page = system.http.request("GET", system.url("metrics", "/metrics")).data
    for line in page.decode().splitlines():
        if line.startswith("briarseam_malformed_total") and kind in line:
            return float(line.rpartition(" ")[2])
        if line.startswith("malformed_total") and kind in line:
            return float(line.rpartition(" ")[2])
    raise LookupError(page)


def known(system):
    return {found.id for found in system.node.feeds.registry.all()}


def leaving(system):
    return {
        found.id for found in system.node.feeds.registry.all() if found.leaving
    }


def test_malformed_records_are_skipped_and_counted(system):
    """Guards against dropping the records after a malformed one in a read.

    New endpoints would get no requests, and leaving ones would still get
    some.
    """
    for number, value in enumerate(BAD):
        for topic in ("servers", "op", "briarseam-members"):
            system.store.write_raw(f"keyed.{topic}", f"bad-{number}", value)
    system.store.write_raw("keyed.op", "version/drafts", b"{}")
    system.store.write_raw("keyed.op", "config", b'{"version":7}x')
    system.add_worker("plain-3", "portal")
    system.write_entry("plain-1", "portal", "draining")
    system.write_entry("plain-2", "portal", "draining")
    # Entries of one read are applied one after the other.
    waiting.until(lambda: leaving(system) == {"plain-1", "plain-2"}, TIMEOUT_S)
    assert "plain-3" in known(system)
    answer = system.call("/status/x", "GET")
    assert answer.status == 200
    assert answer.data == b"plain-3 did it"
    assert system.node.feeds.configuration_version() == 1
    assert count(system, '"endpoint"') >= len(BAD)
    assert count(system, '"operator-document"') == 2
    waiting.until(
        lambda: count(system, '"registration"') >= len(BAD), TIMEOUT_S
    )


def test_endpoint_whose_entry_is_overwritten_gets_no_requests(system):
    """Another writer overwrites the entry of one of two endpoints."""
    system.store.write_raw("keyed.servers", "plain-1", b"{}")
    waiting.until(lambda: "plain-1" not in known(system), TIMEOUT_S)
    answers = {system.call("/status/x", "GET").data for _ in range(10)}
    assert answers == {b"plain-2 did it"}


def test_instance_starts_and_serves_among_malformed_records(cold_system):
    """Guards against a start that fails at malformed records in the topics.

    The instance would skip all records after the first malformed one.  It
    would also never meet its peers if the secret had to be the first record
    of the topic, and would query the store without a pause.
    """
    for topic in ("servers", "op", "briarseam-members"):
        for number, value in enumerate(BAD):
            cold_system.store.write_raw(f"keyed.{topic}", f"a{number}", value)
    cold_system.add_worker("plain-1", "portal")
    cold_system.configure()
    cold_system.start()
    assert cold_system.call("/status/x", "GET").data == b"plain-1 did it"
    rows = cold_system.node.feeds.registrations.by_name
    assert set(rows) <= {"one"}
    waiting.until(
        lambda: set(cold_system.node.feeds.registrations.by_name) == {"one"},
        TIMEOUT_S,
    )


@pytest.mark.parametrize(
    "target, status",
    [
        pytest.param("//[", 400, id="invalid address"),
        pytest.param("/briarseam/resolve?zone=[", 200, id="bracket"),
    ],
)
def test_lookup_of_any_target_is_answered(system, target, status):
    """The target of a lookup looks like an invalid address."""
    host, _, port = str(system.node.settings.listen.lookups).rpartition(":")
    with system.http.connection_from_host(host, int(port)) as pool:
        answer = pool.urlopen("GET", target, headers={"Host": "x"})
    assert answer.status == status


def test_prompt_with_too_many_tokens_is_refused(system):
    """Guards against accepting a number of tokens beyond 64 bits.

    The work at endpoints is published to peers, but no message can carry
    such a sum, so the heartbeats of this instance would stop.
    """
    for usage in (f"{10**30},50", "-5,50", f"10,{10**30}"):
        answer = system.stream("/draft/x", Token_Usage=usage)
        assert answer.status == 400
    answer = system.stream("/draft/x", Prefix_Hash=f"aa:{10**30}")
    assert answer.status == 400
    work = msgspec.msgpack.decode(system.node.chooser.loads.provide())
    assert work[-1] == []
