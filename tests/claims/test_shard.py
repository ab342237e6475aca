from __future__ import annotations

import concurrent.futures
import contextlib
import time
import typing

import pytest
from tests.claims import fake_log

from briarseam.claims import keys
from briarseam.claims import messages
from briarseam.claims import records
from briarseam.claims import shard as shards
from briarseam.claims import writer as writers
from briarseam.testing import waiting

WINDOW = keys.Window(3_600_000)
ALIVE = "1"
GONE = "0"
WAIT_S = 5.0


@pytest.fixture
def log() -> fake_log.FakeLog:
    return fake_log.FakeLog()


@pytest.fixture
def new_shard(
    log: fake_log.FakeLog,
) -> typing.Iterator[typing.Callable[[], shards.Shard]]:
    with contextlib.ExitStack() as stack:

        def make(stream_count: int = 1) -> shards.Shard:
            stream = writers.Stream(
                log, "claims-00", stream_count, "agent-1/1"
            )
            shard = shards.Shard(
                stream, WINDOW, 0.0, lambda claim: claim.incarnation == ALIVE
            )
            shard.start()
            stack.callback(shard.stop)
            return shard

        yield make


@pytest.fixture
def shard(new_shard: typing.Callable[[], shards.Shard]) -> shards.Shard:
    return ready(new_shard())


def ready(shard: shards.Shard) -> shards.Shard:
    waiting.until(lambda: shard.readiness_refusal() is None)
    return shard


def claim(
    log: fake_log.FakeLog,
    attempt: str,
    key: str = "",
    incarnation: str = ALIVE,
) -> records.Claim:
    name = key or keys.make(log.clock_ms)
    return records.Claim(
        "havn", name, attempt, b"x", "agent-1", incarnation, ""
    )


def test_outcome_of_winner_is_replayed_to_later_claims(
    shard: shards.Shard, log: fake_log.FakeLog
) -> None:
    first = claim(log, "a")
    again = claim(log, "b", first.key)
    assert shard.claim(first, WAIT_S) == messages.Won("a")
    assert isinstance(shard.claim(again, WAIT_S), messages.InProgress)
    outcome = records.Outcome(201, b"filed")
    end = records.Done("havn", first.key, "a", outcome)
    assert shard.settle([end], WAIT_S) == {"a"}
    assert shard.claim(again, WAIT_S) == messages.Finished(outcome)


def test_key_of_stopped_holder_is_unknown_at_once(
    shard: shards.Shard, log: fake_log.FakeLog
) -> None:
    first = claim(log, "a", incarnation=GONE)
    shard.claim(first, WAIT_S)
    again = shard.claim(claim(log, "b", first.key), WAIT_S)
    assert isinstance(again, messages.Unknown)


def test_two_writers_of_one_shard_make_one_winner(
    new_shard: typing.Callable[[], shards.Shard], log: fake_log.FakeLog
) -> None:
    """Two agents both assume that they own a shard.

    Each receives the same key at the same time and appends its claim; by
    the fold of the stream there is one winner for both agents.
    """
    owners = [ready(new_shard()), ready(new_shard())]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        for number in range(30):
            key = keys.make(log.clock_ms)
            results = pool.map(
                lambda part, key=key, number=number: owners[part % 2].claim(
                    claim(log, f"{number}-{part}", key), WAIT_S
                ),
                range(6),
            )
            won = [r for r in results if isinstance(r, messages.Won)]
            assert len(won) == 1


@pytest.mark.parametrize(
    "fate",
    [
        fake_log.Fate.ANSWER_LOST,
        fake_log.Fate.NEVER_ARRIVED,
        fake_log.Fate.LATE,
        fake_log.Fate.DOUBLED,
        fake_log.Fate.THROTTLED,
    ],
    ids=lambda fate: fate.value,
)
def test_append_of_unknown_outcome_is_resolved_by_reading(
    shard: shards.Shard, log: fake_log.FakeLog, fate: fake_log.Fate
) -> None:
    """Guards against a claim that hangs or wins twice if an append fails.

    The append's answer is lost before or after it took effect, or the
    append arrives late or twice.  The claim still wins exactly once.
    """
    log.fates.append(fate)
    first = claim(log, "a")
    assert shard.claim(first, WAIT_S) == messages.Won("a")
    log.arrive()
    again = shard.claim(claim(log, "b", first.key), WAIT_S)
    assert isinstance(again, messages.InProgress)


def test_refused_append_is_not_claimed(
    shard: shards.Shard, log: fake_log.FakeLog
) -> None:
    log.fates.append(fake_log.Fate.REFUSED)
    result = shard.claim(claim(log, "a"), WAIT_S)
    assert isinstance(result, messages.NotClaimed)
    assert not result.dangling
    assert result.retry_after_s > 0


def test_append_of_unknown_outcome_with_log_down_ends_claim_at_once(
    shard: shards.Shard, log: fake_log.FakeLog
) -> None:
    """The log becomes unavailable after an append took effect.

    The claimant gets "not claimed" at once, although its claim holds the
    key; the not_run that is recorded later frees the key.
    """
    first = claim(log, "a")
    log.fates.append(fake_log.Fate.ANSWER_LOST)
    with log.changed:
        log.unreadable = True
    result = shard.claim(first, 60.0)
    assert isinstance(result, messages.NotClaimed)
    assert result.dangling
    log.unreadable = False
    ready(shard)
    waiting.until(lambda: shard.fold.find("havn", first.key))
    end = records.NotRun("havn", first.key, "a")
    assert shard.settle([end], WAIT_S) == {"a"}
    again = claim(log, "b", first.key)
    assert shard.claim(again, WAIT_S) == messages.Won("b")


def test_known_holder_is_reported_while_log_is_unavailable(
    shard: shards.Shard, log: fake_log.FakeLog
) -> None:
    """Guards against "not run" for a request that ran or runs."""
    first = claim(log, "a")
    shard.claim(first, WAIT_S)
    log.unreadable = True
    waiting.until(lambda: not shard.follower.available)
    again = shard.claim(claim(log, "b", first.key), WAIT_S)
    other = shard.claim(claim(log, "c"), WAIT_S)
    assert isinstance(again, messages.InProgress)
    assert isinstance(other, messages.NotClaimed)
    assert not other.dangling


def test_new_reader_applies_records_of_all_writers(
    new_shard: typing.Callable[[], shards.Shard], log: fake_log.FakeLog
) -> None:
    """Guards against a request that runs again once instances change."""
    first = claim(log, "a", incarnation=GONE)
    ready(new_shard()).claim(first, WAIT_S)
    fresh = ready(new_shard())
    again = fresh.claim(claim(log, "b", first.key), WAIT_S)
    assert isinstance(again, messages.Unknown)


def test_new_reader_refuses_until_it_has_read_the_window(
    new_shard: typing.Callable[[], shards.Shard], log: fake_log.FakeLog
) -> None:
    """Guards against callers that hang while a new instance reads."""
    log.held.clear()
    fresh = new_shard()
    refused = fresh.claim(claim(log, "a"), 60.0)
    log.held.set()
    assert isinstance(refused, messages.NotClaimed)
    assert refused.retry_after_s > 0
    assert log.appended == 0


def test_claim_waits_for_first_read_of_new_reader(
    new_shard: typing.Callable[[], shards.Shard], log: fake_log.FakeLog
) -> None:
    """Guards against refused claims just after an agent has restarted.

    The other agents see the new one and send it claims on the streams that
    it owns now, some milliseconds before it has read them.
    """
    log.held.clear()
    fresh = new_shard()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pending = pool.submit(fresh.claim, claim(log, "a"), WAIT_S)
        with pytest.raises(concurrent.futures.TimeoutError):
            pending.result(0.1)
        log.held.set()
        assert pending.result() == messages.Won("a")


def test_claim_does_not_wait_for_log_known_to_be_unavailable(
    new_shard: typing.Callable[[], shards.Shard], log: fake_log.FakeLog
) -> None:
    log.unreadable = True
    fresh = new_shard()
    waiting.until(lambda: not fresh.follower.available)
    began = time.monotonic()
    refused = fresh.claim(claim(log, "a"), 60.0)
    assert isinstance(refused, messages.NotClaimed)
    assert time.monotonic() - began < shards.MAX_FIRST_READ_WAIT_S


def test_reader_paused_past_the_retention_resumes_with_right_state(
    shard: shards.Shard, log: fake_log.FakeLog
) -> None:
    """Guards against a request that runs twice after an agent was frozen.

    While it was frozen another agent claimed the key, and records that it
    had not read were dropped.  It resumes at the oldest retained record.
    """
    shard.claim(claim(log, "a"), WAIT_S)
    log.unreadable = True
    waiting.until(lambda: not shard.follower.available)
    held_claim = claim(log, "b", incarnation=GONE)
    writer = writers.Writer(shard.stream, shard, 0.0)
    writer.commit([claim(log, "lost-with-retention")])
    writer.commit([held_claim])
    log.expire(2)
    shard.retention.arrivals.clear()
    log.unreadable = False
    waiting.until(lambda: shard.last_offset == 3)
    ready(shard)
    again = shard.claim(claim(log, "c", held_claim.key), WAIT_S)
    assert isinstance(again, messages.Unknown)


def test_key_older_than_the_window_cannot_be_claimed(
    shard: shards.Shard, log: fake_log.FakeLog
) -> None:
    """A caller resends a key after the log has dropped its records."""
    old = claim(log, "a")
    shard.claim(old, WAIT_S)
    log.clock_ms += WINDOW.length_ms + 1
    result = shard.claim(claim(log, "b"), WAIT_S)
    assert result == messages.Won("b")
    again = shard.claim(claim(log, "c", old.key), WAIT_S)
    assert again == messages.KeyExpired()
    verdict = messages.verdict_of(messages.KeyExpired())
    assert type(verdict).__name__ == "MayHaveRun"


@pytest.mark.parametrize(
    "case",
    ["rolled back", "short retention", "later release", "other shards"],
)
def test_unreliable_stream_halts_claims(
    new_shard: typing.Callable[..., shards.Shard],
    log: fake_log.FakeLog,
    case: str,
) -> None:
    """Guards against keys free for this agent but held for another."""
    shard = ready(new_shard())
    shard.claim(claim(log, "a"), WAIT_S)
    match case:
        case "rolled back":
            with log.changed:
                log.records.clear()
        case "short retention":
            log.expire(1)
        case "later release":
            log.keep(b"\x92\x02\xc0")
        case "other shards":
            shard = new_shard(stream_count=2)
    waiting.until(lambda: shard.halted)
    result = shard.claim(claim(log, "b"), WAIT_S)
    assert isinstance(result, messages.NotClaimed)


def test_concurrent_claims_share_appends(
    shard: shards.Shard, log: fake_log.FakeLog
) -> None:
    shard.writer.interval_s = 0.05
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        results = list(
            pool.map(
                lambda number: shard.claim(claim(log, str(number)), WAIT_S),
                range(200),
            )
        )
    assert all(isinstance(result, messages.Won) for result in results)
    assert shard.writer.appends < 50


def test_number_of_keys_in_memory_is_bounded(
    shard: shards.Shard,
    log: fake_log.FakeLog,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that exhaust the agent's memory with keys."""
    monkeypatch.setattr(shards, "MAX_ENTRIES", 1)
    first = claim(log, "a")
    assert shard.claim(first, WAIT_S) == messages.Won("a")
    refused = shard.claim(claim(log, "b"), WAIT_S)
    assert isinstance(refused, messages.NotClaimed)
    assert refused.retry_after_s > 1
    again = shard.claim(claim(log, "c", first.key), WAIT_S)
    assert isinstance(again, messages.InProgress)


def test_large_outcomes_are_split_into_records_of_accepted_size(
    shard: shards.Shard, log: fake_log.FakeLog
) -> None:
    """Guards against a record that is larger than the log's 1 MiB.

    The log would refuse all claims queued with a large outcome.
    """
    shard.writer.interval_s = 0.05
    outcome = records.Outcome(200, bytes(300 * 1024))
    ends = []
    for number in range(8):
        won = claim(log, str(number))
        shard.claim(won, WAIT_S)
        ends.append(records.Done("havn", won.key, won.attempt, outcome))
    assert len(shard.settle(ends, WAIT_S)) == len(ends)
    assert max(len(record.data) for record in log.records) < 2**20
