from __future__ import annotations

import dataclasses
import typing

import pytest

from briarseam import verdict
from briarseam.admission import idempotency
from briarseam.admission import messages
from briarseam.claims import messages as claims
from briarseam.claims import records

KEYED = idempotency.KeyedRequest("north", "key", b"x", "a", "entry-1")
BOUND_S = 5.0


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
def once(fake, clock, connected) -> idempotency.Idempotency:
    return idempotency.Idempotency(
        fake, lambda: frozenset(connected), lambda: clock[0]
    )


@pytest.fixture
def lose_entry(once, clock, connected) -> typing.Callable[[], None]:
    def lose() -> None:
        connected.clear()
        once.review()
        clock[0] += idempotency.ENTRY_GRACE_S
        once.review()

    return lose


def ended(result: messages.RunResult) -> messages.RunEnded:
    return messages.RunEnded(
        "a", "a", "service-0", result, organisation="north", key="key"
    )


def test_entry_that_died_leaves_its_attempt_lost(once, fake, lose_entry):
    """Callers are told "in progress" for good after an entry died."""
    once.claim(KEYED, BOUND_S)
    once.review()
    assert fake.settled == []
    lose_entry()
    assert fake.ends() == [verdict.MayHaveRun]


def test_entry_that_connects_again_keeps_its_attempt(
    once, fake, clock, connected
):
    """A caller is told "unknown" though its submission's entry lives.

    The entry's connections were cut; it opens new ones and reports.
    """
    once.claim(KEYED, BOUND_S)
    connected.clear()
    once.review()
    connected.add("entry-1")
    clock[0] += idempotency.ENTRY_GRACE_S
    once.review()
    connected.clear()
    once.review()
    assert fake.settled == []


def test_entry_that_died_before_sending_frees_the_key(once, fake, lose_entry):
    once.claim(KEYED, BOUND_S)
    once.record_run_end(ended(messages.RunResult.NOT_SENT))
    lose_entry()
    assert fake.ends() == [verdict.NotRun]


def test_granted_again_after_not_sent_counts_as_sent(once, fake, lose_entry):
    """A booking runs twice.

    Its first endpoint could not be reached, the second got it, and then
    the entry dies: were the attempt still taken for unsent, its key would
    be freed while the booking is made.
    """
    once.claim(KEYED, BOUND_S)
    once.record_run_end(ended(messages.RunResult.NOT_SENT))
    once.claim(KEYED, BOUND_S)
    assert fake.claimed == 1
    lose_entry()
    assert fake.ends() == [verdict.MayHaveRun]


def test_attempt_that_may_be_sent_is_not_granted_again(once, fake):
    once.claim(KEYED, BOUND_S)
    fake.result = claims.InProgress(1.0)
    with pytest.raises(verdict.RefusalError) as raised:
        once.claim(KEYED, BOUND_S)
    assert isinstance(raised.value.given, verdict.MayHaveRun)


def test_entry_that_is_frozen_leaves_its_attempt_lost(once, fake, clock):
    once.claim(KEYED, BOUND_S)
    clock[0] += BOUND_S
    once.review()
    assert fake.settled == []
    clock[0] += idempotency.END_REPORT_MARGIN_S + 1
    once.review()
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
def test_end_is_recorded_also_for_a_predecessors_grant(
    once, fake, result, end
):
    """An agent is replaced while a submission runs."""
    once.record_run_end(ended(result))
    assert fake.ends() == [end]


def test_attempt_abandoned_by_its_entry_is_freed(once, fake):
    once.abandon("north", "key", "a")
    assert fake.ends() == [verdict.NotRun]


def test_won_attempt_without_endpoint_is_freed(once, fake):
    once.claim(KEYED, BOUND_S)
    once.release(KEYED, verdict.NotRun(verdict.Reason.NO_ENDPOINT))
    assert fake.ends() == [verdict.NotRun]
    assert once.attempts == {}


def test_lost_prompt_is_asked_of_its_endpoint(once, fake, lose_entry):
    """A skipper's briefing is lost though its endpoint still has it.

    The entry died as it relayed the answer; the next try finds the answer
    by its id.
    """
    once.claim(KEYED, BOUND_S)
    once.record_grant(KEYED, "answer-1")
    lose_entry()
    assert fake.answer_ids == ["answer-1"]
    fake.result = claims.Unknown("lost", "answer-1")
    replayed = once.claim(dataclasses.replace(KEYED, attempt="b"), BOUND_S)
    assert replayed == messages.Replayed(0, b"", False, "answer-1", "unknown")
