from __future__ import annotations

import dataclasses
import typing

import pytest

from briarseam import verdict
from briarseam.admission import idempotency
from briarseam.admission import messages
from briarseam.claims import messages as claims
from briarseam.claims import records

REQUEST = idempotency.KeyedRequest("north", "key", b"x", "a", "entry-1")
MAX_RUN_S = 5.0


@dataclasses.dataclass
class FakeClaims:
    result: claims.Result = claims.Won("a")
    settled: list[typing.Any] = dataclasses.field(default_factory=list)
    claimed: int = 0
    answer_ids: list[str] = dataclasses.field(default_factory=list)

    def claim(self, organisation, key, body_digest, attempt):
        self.claimed += 1
        return self.result

    def settle(self, organisation, key, attempt, end, answer_id=""):
        self.settled.append((attempt, end))
        self.answer_ids.append(answer_id)

    def ends(self) -> list[type]:
        return [type(end) for _, end in self.settled]


@pytest.fixture
def fake() -> FakeClaims:
    return FakeClaims()


@pytest.fixture
def clock() -> list[float]:
    return [100.0]


@pytest.fixture
def connected() -> set[str]:
    return {"entry-1"}


@pytest.fixture
def tracker(fake, clock, connected) -> idempotency.Idempotency:
    return idempotency.Idempotency(
        fake, lambda: frozenset(connected), lambda: clock[0]
    )


@pytest.fixture
def lose_entry(tracker, clock, connected) -> typing.Callable[[], None]:
    def lose() -> None:
        connected.clear()
        tracker.review()
        clock[0] += idempotency.ENTRY_GRACE_S
        tracker.review()

    return lose


def ended(result: messages.RunResult) -> messages.RunEnded:
    return messages.RunEnded(
        "a", "a", "service-0", result, organisation="north", key="key"
    )


def test_attempt_of_dead_entry_is_settled_as_lost(tracker, fake, lose_entry):
    """Otherwise callers would get "in progress" forever."""
    tracker.claim(REQUEST, MAX_RUN_S)
    tracker.review()
    assert fake.settled == []
    lose_entry()
    assert fake.ends() == [verdict.MayHaveRun]


def test_entry_that_connects_again_keeps_its_attempt(
    tracker, fake, clock, connected
):
    """An entry whose connections were cut opens new ones and still reports.

    Its caller must not get "unknown" meanwhile.
    """
    tracker.claim(REQUEST, MAX_RUN_S)
    connected.clear()
    tracker.review()
    connected.add("entry-1")
    clock[0] += idempotency.ENTRY_GRACE_S
    tracker.review()
    connected.clear()
    tracker.review()
    assert fake.settled == []


def test_unsent_attempt_of_dead_entry_releases_its_key(
    tracker, fake, lose_entry
):
    tracker.claim(REQUEST, MAX_RUN_S)
    tracker.record_run_end(ended(messages.RunResult.NOT_SENT))
    lose_entry()
    assert fake.ends() == [verdict.NotRun]


def test_attempt_granted_again_counts_as_sent(tracker, fake, lose_entry):
    """Guards against a request that runs twice.

    The first endpoint is unreachable, the second gets the request, and then
    the entry dies.  Were the attempt still marked as unsent, its key would
    be released while the request runs.
    """
    tracker.claim(REQUEST, MAX_RUN_S)
    tracker.record_run_end(ended(messages.RunResult.NOT_SENT))
    tracker.claim(REQUEST, MAX_RUN_S)
    assert fake.claimed == 1
    lose_entry()
    assert fake.ends() == [verdict.MayHaveRun]


def test_attempt_that_may_be_sent_is_not_granted_again(tracker, fake):
    tracker.claim(REQUEST, MAX_RUN_S)
    fake.result = claims.InProgress(1.0)
    with pytest.raises(verdict.RefusalError) as raised:
        tracker.claim(REQUEST, MAX_RUN_S)
    assert isinstance(raised.value.given, verdict.MayHaveRun)


def test_attempt_of_frozen_entry_is_settled_as_lost(tracker, fake, clock):
    tracker.claim(REQUEST, MAX_RUN_S)
    clock[0] += MAX_RUN_S
    tracker.review()
    assert fake.settled == []
    clock[0] += idempotency.END_REPORT_MARGIN_S + 1
    tracker.review()
    assert fake.ends() == [verdict.MayHaveRun]


@pytest.mark.parametrize(
    ("result", "end"),
    [
        (messages.RunResult.DONE, records.Outcome),
        (messages.RunResult.CANCELLED, records.Outcome),
        (messages.RunResult.LOST_BEFORE_FIRST, verdict.MayHaveRun),
        (messages.RunResult.LOST_AFTER_FIRST, verdict.MayHaveRun),
    ],
    ids=lambda value: getattr(value, "value", ""),
)
def test_end_of_a_grant_before_a_restart_is_recorded(
    tracker, fake, result, end
):
    """An agent is replaced while a run that it granted is in progress."""
    tracker.record_run_end(ended(result))
    assert fake.ends() == [end]


def test_key_of_abandoned_attempt_is_released(tracker, fake):
    tracker.abandon("north", "key", "a")
    assert fake.ends() == [verdict.NotRun]


def test_key_of_attempt_without_endpoint_is_released(tracker, fake):
    tracker.claim(REQUEST, MAX_RUN_S)
    tracker.release(REQUEST, verdict.NotRun(verdict.Reason.NO_ENDPOINT))
    assert fake.ends() == [verdict.NotRun]
    assert tracker.attempts == {}


def test_lost_prompt_is_replayed_by_its_answer_id(tracker, fake, lose_entry):
    """The entry dies while it relays an answer that the endpoint still has.

    The next try gets the answer id, by which the answer can be resumed.
    """
    tracker.claim(REQUEST, MAX_RUN_S)
    tracker.record_grant(REQUEST, "answer-1")
    lose_entry()
    assert fake.answer_ids == ["answer-1"]
    fake.result = claims.Unknown("lost", "answer-1")
    replayed = tracker.claim(
        dataclasses.replace(REQUEST, attempt="b"), MAX_RUN_S
    )
    assert replayed == messages.Replayed(0, b"", False, "answer-1", "unknown")
