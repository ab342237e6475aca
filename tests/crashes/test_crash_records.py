from __future__ import annotations

import time

import msgspec
import pytest

from briarseam import malformed
from briarseam.crashes import abandoned_attempts
from briarseam.crashes import crash_records
from briarseam.crashes import loss_counts
from briarseam.crashes import loss_keys
from briarseam.crashes import pending_losses
from briarseam.crashes import trial_ledger
from briarseam.crashes import trial_messages as messages
from briarseam.discovery import model
from briarseam.feeds import records
from briarseam.reachability import tracker
from briarseam.testing import waiting
from tests import clocks

PART = b"part"
REQUEST = loss_keys.key_of_request("/status/1", "north", b"")
TOPIC = "keyed.crashes"
ENDPOINTS = ("e1", "e2", "e3")
OPEN = messages.TrialState.OPEN
LOST = messages.TrialState.LOST


class Store:
    """A store with one keyed topic."""

    def __init__(self):
        self.values = {}
        self.is_away = False
        self.is_unreadable = False
        self.era = 0
        self.puts = 0

    def newest(self, topic):
        if self.is_away or self.is_unreadable:
            raise records.StoreUnavailableError("away")
        rows = [records.KeyedRecord(*row) for row in self.values.items()]
        return records.KeyedBatch(tuple(rows), 0)

    def put(self, topic, key, value):
        if self.is_away:
            raise records.StoreUnavailableError("away")
        self.puts += 1
        self.values[key] = value


class Entries:
    """Entries of endpoints, of which all have ended but some."""

    def __init__(self):
        self.known = set()

    def is_read(self):
        return True

    def is_known(self, endpoint_id):
        return endpoint_id in self.known

    def observed_s(self, endpoint_id, since_s):
        return 0.0


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def entries():
    return Entries()


@pytest.fixture
def noted():
    return []


@pytest.fixture
def tally(noted):
    return malformed.Tally(noted.append)


@pytest.fixture
def start(store, tally, clock, entries):
    """Return a function that starts an instance's records."""
    started = []

    def start_one(name="one"):
        counts = loss_counts.LossCounts(clock)
        reachability = tracker.Reachability(lambda service: [], clock)
        losses = pending_losses.PendingLosses(
            counts, reachability, entries, clock
        )
        ledger = trial_ledger.TrialLedger(counts, clock)
        known = crash_records.Knowledge(counts, losses, ledger)
        one = crash_records.CrashRecords(
            store, TOPIC, name, known, tally, clock, clock
        )
        one.start()
        started.append(one)
        return one

    yield start_one
    for one in started:
        one.stop()
        one.thread.join(5.0)


def lose(one, store, *endpoints):
    """Lose a part at endpoints, and have that written."""
    waiting.until(one.loaded.is_set)
    for endpoint in endpoints or ENDPOINTS:
        one.known.counts.record_loss(PART, endpoint, one.clock())
    one.note_change()
    waiting.until(lambda: store.values.get(one.name))


def successor_of(start, name="next"):
    """Return an instance that starts after all others ended."""
    one = start(name)
    waiting.until(one.loaded.is_set)
    one.known.losses.review()
    return one


def suspects(one):
    return one.known.counts.suspects((PART,))


def test_part_is_suspected_after_all_instances_ended(start, store):
    """Guards against crashes that all instances forget at once."""
    one = start()
    waiting.until(one.loaded.is_set)
    row = messages.TrialRow(b"1", (PART,), LOST)
    one.known.ledger.restore((row,), ())
    lose(one, store)
    successor = successor_of(start)
    assert suspects(successor) == (PART,)
    assert successor.known.ledger.rows() == (row,)


def test_losses_of_several_instances_add_up_after_all_ended(start, store):
    """Guards against instances that write over each other's records."""
    for number, endpoint in enumerate(ENDPOINTS):
        lose(start(f"i{number}"), store, endpoint)
    assert suspects(successor_of(start)) == (PART,)


def test_loss_that_was_not_decided_counts_after_all_instances_ended(
    start, store, entries
):
    """Guards against instances that end before entries show a crash."""
    one = start()
    waiting.until(one.loaded.is_set)
    entries.known.update(ENDPOINTS)
    for endpoint in ENDPOINTS:
        one.known.losses.adopt(PART, endpoint, one.clock())
    one.note_change()
    waiting.until(lambda: store.values.get("one"))
    successor = successor_of(start)
    assert suspects(successor) == ()
    assert PART in successor.known.losses.suspects((PART,))
    entries.known.clear()
    successor.known.losses.review()
    assert suspects(successor) == (PART,)


def test_trial_without_an_end_is_lost_after_all_instances_ended(start, store):
    """Guards against instances that end together with the endpoint."""
    one = start()
    waiting.until(one.loaded.is_set)
    row = messages.TrialRow(b"1", (PART,), OPEN)
    one.known.ledger.restore((row,), ())
    lose(one, store)
    [trial] = successor_of(start).known.ledger.rows()
    assert trial.state is LOST


def test_trial_is_at_the_store_when_writing_returns(start, store):
    """Guards against a trial that begins before it is recorded."""
    one = start()
    lose(one, store)
    one.known.ledger.restore((messages.TrialRow(b"1", (PART,), OPEN),), ())
    assert one.write()
    store.is_away = True
    one.known.ledger.restore((messages.TrialRow(b"2", (PART,), OPEN),), ())
    assert not one.write()


def test_record_goes_when_the_part_is_answered(start, store, clock):
    """Guards against a part that each start suspects again."""
    lose(start("dead"), store)
    successor = successor_of(start)
    assert suspects(successor) == (PART,)
    clock.now_s += 1
    successor.known.counts.record_answer((PART,), clock())
    assert successor.write()
    clock.now_s += 1
    assert suspects(successor_of(start, "third")) == ()


def test_own_record_goes_with_its_last_loss(start, store, clock):
    one = start()
    lose(one, store)
    clock.now_s += 1
    one.known.counts.record_answer((PART,), clock())
    assert one.write()
    record = msgspec.msgpack.decode(
        store.values["one"], type=crash_records.CrashRecord
    )
    assert record.losses == ()
    clock.now_s += loss_counts.LOSS_TTL_S
    one.known.counts.forget_expired()
    assert one.write()
    assert store.values["one"] is None


def test_instance_without_losses_costs_no_call(start, store):
    one = start()
    waiting.until(one.loaded.is_set)
    assert one.write()
    assert store.puts == 0


def test_record_that_says_nothing_new_is_not_written(start, store, clock):
    """Guards against a call for each answer beside a loss."""
    one = start()
    lose(one, store)
    puts = store.puts
    clock.now_s += 1
    assert one.write()
    assert store.puts == puts


def test_record_is_written_again_after_the_store_was_restored(start, store):
    """Guards against a backup that is older than the record."""
    one = start()
    lose(one, store)
    store.values.clear()
    store.era += 1
    assert one.is_outdated()
    assert one.write()
    assert store.values["one"]


def test_old_record_is_removed(start, store, clock):
    lose(start(), store)
    clock.now_s += crash_records.MAX_AGE_S + 1
    successor = successor_of(start)
    assert store.values["one"] is None
    assert suspects(successor) == ()


def test_instance_does_not_wait_long_for_a_store_that_is_away(
    start, store, clock
):
    """Guards against instances that take no requests without the store."""
    store.is_away = True
    one = start()
    assert not one.is_settled()
    clock.now_s += crash_records.MAX_WAIT_S
    assert one.is_settled()
    store.is_away = False
    waiting.until(one.loaded.is_set)


def test_wait_begins_when_the_instance_could_serve(start, store, clock):
    """Guards against a store that is away for longer than the wait."""
    store.is_away = True
    one = start()
    clock.now_s += 10 * crash_records.MAX_WAIT_S
    assert not one.is_settled()


def test_record_is_not_replaced_before_it_was_read(start, store):
    """Guards against a start that overwrites what its predecessor knew."""
    lose(start(), store)
    before = store.values["one"]
    store.is_unreadable = True
    one = start()
    one.known.counts.record_loss(b"other", "e9", one.clock())
    assert not one.write()
    assert store.values["one"] == before
    store.is_unreadable = False
    waiting.until(one.loaded.is_set)
    one.known.losses.review()
    assert one.write()
    assert suspects(successor_of(start)) == (PART,)


def test_losses_that_are_not_repeated_are_gathered(start, store):
    """Guards against a call for each answer that an endpoint breaks off."""
    one = start()
    waiting.until(one.loaded.is_set)
    one.known.counts.record_loss(PART, "e1", one.clock())
    assert one.gather_s() == crash_records.GATHER_FIRST_S
    one.known.counts.record_loss(PART, "e2", one.clock())
    assert one.gather_s() == crash_records.GATHER_S


def abandon(one, *endpoints, digest=REQUEST):
    """Let callers of a request leave, and have that reviewed."""
    waiting.until(one.loaded.is_set)
    one.known.losses.on_added = one.note_change
    for endpoint in endpoints:
        start = model.Endpoint(endpoint, "portal", "10.0.0.1:1", "a", 8)
        one.known.losses.add_abandoned(digest, start, (PART,), False)
    one.known.losses.review()


def test_abandoned_repeats_count_after_all_instances_ended(
    start, store, entries, clock
):
    """Guards against kills before anything shows that endpoints crashed."""
    entries.known.update(ENDPOINTS)
    abandon(start(), *ENDPOINTS)
    waiting.until(lambda: store.values.get("one"))
    clock.now_s += crash_records.MAX_ATTEMPT_AGE_S / 2
    entries.known.clear()
    successor = successor_of(start)
    assert successor.known.counts.suspects((REQUEST,)) == (REQUEST,)
    assert suspects(successor) == ()


def test_abandoned_repeats_are_not_suspected_while_entries_are_there(
    start, store, entries
):
    """Guards against refusing callers who always leave after a restart."""
    entries.known.update(ENDPOINTS)
    abandon(start(), *ENDPOINTS)
    waiting.until(lambda: store.values.get("one"))
    successor = successor_of(start)
    assert not successor.known.losses.suspects((REQUEST, PART))
    entries.known.clear()
    successor.known.losses.review()
    assert successor.known.losses.suspects((REQUEST,)).keys() == {REQUEST}


def test_abandoned_repeats_outlive_two_ends_of_all_instances(
    start, store, entries, clock
):
    """Guards against a successor that drops what it has read."""
    entries.known.update(ENDPOINTS)
    abandon(start(), *ENDPOINTS)
    waiting.until(lambda: store.values.get("one"))
    successor = successor_of(start, "one")
    clock.now_s += 1
    assert successor.write()
    entries.known.clear()
    third = successor_of(start, "one")
    assert third.known.counts.suspects((REQUEST,)) == (REQUEST,)


def test_old_abandoned_repeats_are_not_counted(start, store, entries, clock):
    """Guards against blaming requests for endpoints that ended later."""
    entries.known.update(ENDPOINTS)
    abandon(start(), *ENDPOINTS)
    waiting.until(lambda: store.values.get("one"))
    clock.now_s += crash_records.MAX_ATTEMPT_AGE_S + 1
    entries.known.clear()
    assert not successor_of(start).known.losses.suspects((REQUEST,))


def test_abandoned_request_that_was_lost_elsewhere_is_recorded(
    start, store, entries
):
    """Guards against forgetting the crash that follows a known one."""
    entries.known.update(ENDPOINTS)
    one = start()
    waiting.until(one.loaded.is_set)
    one.known.losses.adopt(REQUEST, "e1", one.clock())
    abandon(one, "e2")
    [row] = one.record().attempts
    assert (row.key, row.endpoint) == (REQUEST, "e2")


def test_callers_who_leave_cost_no_call(start, store, entries):
    """Guards against a store call for each caller who leaves."""
    entries.known.update(ENDPOINTS)
    one = start()
    for number in range(200):
        digest = loss_keys.key_of_request(f"/page/{number}", "north", b"")
        abandon(one, ENDPOINTS[number % 3], digest=digest)
    abandon(one, "e1", "e1", digest=REQUEST)
    assert not one.changed.is_set()
    assert one.write()
    assert store.puts == 0


def test_polled_request_costs_no_call_once_endpoints_go_on(
    start, store, entries, clock
):
    """Guards against a call a second for callers who poll and leave."""
    entries.known.update(ENDPOINTS)
    one = start()
    abandon(one, *ENDPOINTS)
    waiting.until(lambda: store.values.get("one"))
    clock.now_s += abandoned_attempts.RUN_ON_S
    for endpoint in ENDPOINTS:
        heard = model.Endpoint(endpoint, "portal", "10.0.0.1:1", "a", 8)
        one.known.losses.reachability.record_heard_from(heard)
    one.known.losses.review()
    waiting.until(lambda: store.values["one"] is None)
    puts = store.puts
    abandon(one, *ENDPOINTS)
    assert not one.changed.is_set()
    assert one.record().is_empty
    assert one.write()
    assert store.puts == puts
    clock.now_s += abandoned_attempts.HARMLESS_S
    abandon(one, *ENDPOINTS)
    assert not one.record().is_empty


def test_answered_request_is_not_recorded_when_its_callers_leave(
    start, entries
):
    entries.known.update(ENDPOINTS)
    one = start()
    waiting.until(one.loaded.is_set)
    one.known.counts.record_answer((REQUEST,), one.clock())
    abandon(one, *ENDPOINTS)
    assert one.record().is_empty


def test_number_of_recorded_attempts_is_bounded(start, entries):
    one = start()
    endpoints = [f"e{n}" for n in range(2 * crash_records.MAX_ATTEMPTS)]
    entries.known.update(endpoints)
    abandon(one, *endpoints)
    assert len(one.record().attempts) == crash_records.MAX_ATTEMPTS


@pytest.mark.parametrize(
    ("requests", "pause_s"),
    [
        (1, crash_records.REPEAT_PAUSE_S),
        (crash_records.MAX_REPEATED + 1, crash_records.MIN_PAUSE_S),
    ],
)
def test_repeats_that_are_abandoned_cost_few_calls_a_second(
    store, tally, entries, requests, pause_s
):
    """Guards against a call for each repeat whose caller leaves."""
    counts = loss_counts.LossCounts()
    reachability = tracker.Reachability(lambda service: [])
    losses = pending_losses.PendingLosses(counts, reachability, entries)
    ledger = trial_ledger.TrialLedger(counts)
    known = crash_records.Knowledge(counts, losses, ledger)
    one = crash_records.CrashRecords(store, TOPIC, "one", known, tally)
    one.start()
    began_s = one.clock()
    for number in range(150):
        entries.known.add(f"e{number}")
        for path in range(requests):
            digest = loss_keys.key_of_request(f"/{path}", "north", b"")
            abandon(one, f"e{number}", digest=digest)
        time.sleep(0.01)
    ended_s = one.clock()
    one.stop()
    one.thread.join(5.0)
    writes = (ended_s - began_s) / pause_s
    # One at once, and one as it stops.
    assert 1 <= store.puts <= writes + 2


def test_third_repeat_is_recorded_before_the_usual_pause(
    start, store, entries, clock
):
    """Guards against a kill within a second of the record before."""
    entries.known.update(ENDPOINTS)
    one = start()
    abandon(one, *ENDPOINTS[:2])
    waiting.until(lambda: one.written is not None)
    clock.now_s += crash_records.REPEAT_PAUSE_S
    abandon(one, ENDPOINTS[2])
    waiting.until(lambda: store.puts == 2)
    record = msgspec.msgpack.decode(
        store.values["one"], type=crash_records.CrashRecord
    )
    assert len(record.attempts) == len(ENDPOINTS)
    assert one.pause_s() == crash_records.REPEAT_PAUSE_S


def test_malformed_record_is_counted_and_others_are_read(start, store, noted):
    lose(start(), store)
    store.values["other"] = b"\x93"
    store.values["third"] = b"\xc1"
    successor = successor_of(start)
    assert suspects(successor) == (PART,)
    assert noted == [malformed.Kind.STORE_RECORD] * 2


NESTED = b"\x91" * 100_000


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(NESTED, id="nested"),
        pytest.param(b"\x96\x90\x90\x90\x00\x90" + NESTED, id="extra row"),
        pytest.param(
            msgspec.msgpack.encode([[], [], [], "soon", []]), id="time as text"
        ),
        pytest.param(
            msgspec.msgpack.encode([[[b"k", "e", 2**64 - 1]], [], [], 0]),
            id="age beyond 64 bits",
        ),
        pytest.param(
            msgspec.msgpack.encode([[[b"k", "e" * 70_000, 0]], [], [], 0]),
            id="long endpoint",
        ),
    ],
)
def test_odd_record_does_not_end_the_thread(start, store, noted, value):
    """Guards against a thread that ends at a record it can't decode.

    The instance would know of no crash, and record none.
    """
    lose(start("one"), store, "e1")
    store.values["aa"] = value
    other = start("other")
    waiting.until(other.loaded.is_set, 5)
    assert noted == [malformed.Kind.STORE_RECORD]
    assert set(other.known.losses.undecided()) == {(PART, "e1")}
    assert other.thread.is_alive()


@pytest.mark.parametrize(
    "endpoint",
    [
        pytest.param("", id="empty"),
        pytest.param("a@" + "9" * 200, id="long number"),
        pytest.param("a\r\nb/../@", id="control characters"),
        pytest.param("a@\N{SUPERSCRIPT TWO}", id="digit of another kind"),
    ],
)
def test_odd_loss_is_recorded_no_longer_than_others(
    start, store, clock, endpoint
):
    """Guards against rows of others that this instance can't encode."""
    store.values["odd"] = msgspec.msgpack.encode(
        [
            [[b"k", endpoint, 2**53], [b"k", endpoint + "2", 5]],
            [],
            [[b"z", 2**53]],
            int(clock() * 1000),
        ]
    )
    one = start("one")
    waiting.until(one.loaded.is_set, 5)
    lose(one, store, "e1")
    lost = {name for _key, name in one.known.losses.undecided()}
    assert endpoint not in lost
    assert one.thread.is_alive()


def test_unexpected_error_does_not_end_the_thread(start, store, monkeypatch):
    """Guards against an instance that records nothing after one error."""
    monkeypatch.setattr(crash_records, "FAILURE_PAUSE_S", 0.01)
    failures = [RecursionError(), KeyError("x")]
    newest = store.newest

    def fail_first(topic):
        if failures:
            raise failures.pop()
        return newest(topic)

    monkeypatch.setattr(store, "newest", fail_first)
    one = start("one")
    waiting.until(one.loaded.is_set, 5)
    assert not failures
