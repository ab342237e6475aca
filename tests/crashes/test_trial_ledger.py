from __future__ import annotations

import msgspec
import pytest

from briarseam.crashes import loss_counts
from briarseam.crashes import loss_keys
from briarseam.crashes import trial_ledger
from briarseam.crashes import trial_messages as messages
from briarseam.crashes import trial_requests
from briarseam.wire import codec
from briarseam.wire import replies
from tests import clocks

PART = b"part"
OTHER = b"other"
ENDPOINTS = ("e1", "e2", "e3")
WAITS_S = trial_ledger.PART_WAITS_S


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def losses(clock):
    losses = loss_counts.LossCounts(clock)
    for endpoint in ENDPOINTS:
        losses.record_loss(PART, endpoint, clock())
    return losses


@pytest.fixture
def ledger(losses, clock):
    return trial_ledger.TrialLedger(losses, clock)


class Coordinator:
    """The instance that grants trials, over the wire."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.is_away = False
        self.asked = 0

    def ask_trial(self, message):
        self.asked += 1
        if self.is_away:
            raise replies.NoReplyError("away")
        return transfer(self.ledger.answer(transfer(message)))

    def end_trial(self, message):
        if self.is_away:
            raise replies.NoReplyError("away")
        transfer(self.ledger.end(transfer(message)))


def transfer(message):
    """Return a message as its receiver decodes it."""
    encoded = codec.encode(message)
    return codec.decode(encoded[codec.LENGTH.size :])


@pytest.fixture
def coordinator(ledger):
    return Coordinator(ledger)


def other_instance(coordinator, clock):
    """Return the requests of another instance, which knows the losses."""
    losses = loss_counts.LossCounts(clock)
    losses.consume("peer", coordinator.ledger.losses.provide())
    ledger = trial_ledger.TrialLedger(losses, clock)
    return trial_requests.TrialRequests(losses, ledger, coordinator, clock)


def ask(requests, *parts):
    """Ask as a prompt does that has suspected parts."""
    lost_s = {
        part: requests.losses.last_lost_s(part) for part in parts or (PART,)
    }
    return requests.begin(lost_s)


LOST = messages.TrialState.LOST


def lost_trials(count, *keys):
    """Return trials that were lost, as a peer tells them."""
    rows = [
        messages.TrialRow(b"%d" % number, keys or (PART,), LOST)
        for number in range(count)
    ]
    return msgspec.msgpack.encode(rows)


def is_granted(told):
    return isinstance(told, trial_requests.Granted)


def test_one_instance_gets_a_trial(coordinator, clock):
    """Guards against each instance trying a prompt of its own."""
    instances = [other_instance(coordinator, clock) for _ in range(20)]
    clock.now_s += WAITS_S[0]
    granted = [one for one in instances if is_granted(ask(one))]
    assert len(granted) == 1


def test_no_trial_begins_right_after_a_loss(coordinator, clock):
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0] / 2
    refused = ask(requests)
    assert refused.retry_after_s == pytest.approx(WAITS_S[0] / 2)


def test_three_trials_at_most_come_later_than_three_seconds(
    coordinator, clock
):
    """Guards against trials that go on as long as prompts come."""
    instances = [other_instance(coordinator, clock) for _ in range(3)]
    began_s = clock()
    granted_s = []
    while clock() < began_s + 300:
        for one in instances:
            if is_granted(ask(one)):
                granted_s.append(clock() - began_s)
                one.losses.record_loss(PART, f"t{len(granted_s)}", clock())
                for other in instances:
                    other.losses.consume("peer", one.losses.provide())
                    other.losses.record_refusal((PART,))
                    other.losses.forget_expired()
        clock.now_s += 0.25
    assert len([one for one in granted_s if one > 3.0]) <= 3
    assert len(granted_s) >= 2


def test_answered_trial_frees_the_part_at_all_instances(coordinator, clock):
    """Guards against other cells that wait for a trial of their own."""
    first, second = (other_instance(coordinator, clock) for _ in range(2))
    clock.now_s += WAITS_S[0]
    granted = ask(first)
    clock.now_s += 0.1
    first.losses.record_answer((PART,), clock())
    first.end(granted, messages.TrialEnd.ANSWERED)
    assert is_granted(ask(second))
    assert second.losses.suspects((PART,)) == ()


def test_trial_that_reached_no_endpoint_is_not_counted(coordinator, clock):
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0]
    requests.end(ask(requests), messages.TrialEnd.UNUSED)
    clock.now_s += WAITS_S[0]
    assert is_granted(ask(requests))


def test_lost_trial_delays_the_next_one(coordinator, clock):
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0]
    assert is_granted(ask(requests))
    clock.now_s += WAITS_S[1] / 2
    assert not is_granted(ask(requests))
    clock.now_s += WAITS_S[1] / 2
    assert is_granted(ask(requests))


def test_prompt_with_two_suspected_parts_waits_for_both(coordinator, clock):
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0]
    requests.losses.record_loss(OTHER, "e9", clock())
    assert not is_granted(ask(requests, PART, OTHER))
    assert coordinator.ledger.trials == {}
    clock.now_s += WAITS_S[0]
    assert is_granted(ask(requests, PART, OTHER))
    [trial] = coordinator.ledger.trials.values()
    assert trial.keys == {PART, OTHER}


def test_companion_of_a_crashing_part_is_tried_without_it(coordinator, clock):
    """Guards against a rare caller whose part only comes with the cause."""
    requests = other_instance(coordinator, clock)
    requests.losses.record_loss(OTHER, "e9", clock())
    clock.now_s += WAITS_S[0]
    requests.end(ask(requests, PART, OTHER), messages.TrialEnd.LOST)
    clock.now_s += WAITS_S[0]
    assert not is_granted(ask(requests, PART, OTHER))
    clock.now_s += trial_requests.MIN_RETRY_S
    requests.end(ask(requests, OTHER), messages.TrialEnd.ANSWERED)
    [row] = coordinator.ledger.rows(frozenset((PART, OTHER)))
    assert row.keys == (PART,)
    assert row.state is LOST


def test_part_is_refused_while_the_coordinator_does_not_answer(
    coordinator, clock
):
    """Guards against trials that nobody has granted."""
    coordinator.is_away = True
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0]
    assert not is_granted(ask(requests))
    coordinator.is_away = False
    clock.now_s += trial_requests.MIN_RETRY_S
    assert is_granted(ask(requests))


def test_coordinator_is_not_asked_for_each_prompt(coordinator, clock):
    requests = other_instance(coordinator, clock)
    for _ in range(50):
        assert not is_granted(ask(requests))
    assert coordinator.asked == 1


def test_next_coordinator_knows_the_trials_of_the_former(
    coordinator, ledger, losses, clock
):
    """Guards against trials that begin anew when the coordinator ends."""
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0]
    assert is_granted(ask(requests))
    clock.now_s += trial_ledger.OPEN_S
    successor = trial_ledger.TrialLedger(losses, clock)
    successor.consume("former", ledger.provide())
    coordinator.ledger = successor
    clock.now_s += WAITS_S[0] / 2
    assert not is_granted(ask(requests))


def test_trials_of_parts_without_losses_are_not_taken_over(clock, ledger):
    """Guards against old trials that delay a part which was answered."""
    clock.now_s += WAITS_S[0]
    peer = trial_ledger.TrialLedger(loss_counts.LossCounts(clock), clock)
    peer.consume("peer", lost_trials(2))
    assert peer.trials == {}
    ledger.consume("peer", lost_trials(2))
    assert [trial.keys for trial in ledger.trials.values()] == [{PART}] * 2


def test_trials_are_forgotten_with_the_losses(ledger, losses, clock):
    ledger.consume("peer", lost_trials(2))
    clock.now_s += loss_counts.LOSS_TTL_S
    losses.forget_expired()
    ledger.forget_expired()
    assert ledger.trials == {}


def test_number_of_trials_stays_while_the_part_is_refused(
    ledger, losses, clock
):
    """Guards against trials that begin anew while prompts go on coming."""
    ledger.consume("peer", lost_trials(2))
    for _ in range(10):
        clock.now_s += loss_counts.LOSS_TTL_S / 2
        losses.record_refusal((PART,))
        losses.forget_expired()
        ledger.forget_expired()
    assert len(ledger.trials) == 2


def test_retry_after_is_bounded(coordinator, clock):
    requests = other_instance(coordinator, clock)
    coordinator.ledger.consume("peer", lost_trials(3))
    refused = ask(requests)
    assert refused.retry_after_s == trial_requests.MAX_RETRY_S


def test_second_trial_waits_until_it_is_recorded(coordinator, clock):
    """Guards against trials that all instances forget as they end."""
    requests = other_instance(coordinator, clock)
    recorded = []
    requests.record = lambda: bool(recorded)
    clock.now_s += WAITS_S[0]
    requests.end(ask(requests), messages.TrialEnd.LOST)
    clock.now_s += WAITS_S[1]
    assert not is_granted(ask(requests))
    recorded.append(True)
    clock.now_s += trial_requests.MIN_RETRY_S
    assert is_granted(ask(requests))


def test_trials_that_cross_are_counted_once(ledger):
    """Guards against trials that grow in number as peers tell them."""
    for member in ("one", "two"):
        ledger.consume(member, lost_trials(2))
        ledger.consume(member, ledger.provide())
    assert len(ledger.trials) == 2


def test_trial_that_was_not_used_stays_so(ledger, clock):
    """Guards against a peer that has heard of the trial, not of its end."""
    clock.now_s += WAITS_S[0]
    granted = ledger.answer(asked(PART, clock, lost_s=10.0))
    [row] = granted.trials
    ledger.end(messages.TrialEnded(row.id, (PART,), UNUSED))
    ledger.consume("peer", msgspec.msgpack.encode([row]))
    assert ledger.trials[row.id].state is messages.TrialState.UNUSED


LOST_END = messages.TrialEnd.LOST
UNUSED = messages.TrialEnd.UNUSED
REQUEST = loss_keys.key_of_request("/status/1", "north", b"")
REQUEST_WAITS_S = trial_ledger.REQUEST_WAITS_S
HOUR_S = 3600
ALLOWED_ARRIVALS = 3


def asked(key, clock, lost_s, *others, answered=False):
    """Return what is asked for a request that was lost some time ago."""
    rows = tuple(
        messages.SuspectAsked(one, round(lost_s * 1000), answered)
        for one in (key, *others)
    )
    return messages.TrialAsked(rows, ())


def lose_request(losses, *endpoints):
    for endpoint in endpoints:
        losses.record_loss(REQUEST, endpoint, losses.clock())


def run_trials(ledger, losses, clock, seconds, end, keys=(REQUEST,)):
    """Ask all the time, let trials end in one way; return when they began."""
    granted_s = []
    began_s = clock()
    while clock() < began_s + seconds:
        since_s = clock() - losses.last_lost_s(REQUEST)
        told = ledger.answer(asked(keys[0], clock, since_s, *keys[1:]))
        losses.record_refusal((REQUEST,))
        if told.granted:
            granted_s.append(clock() - began_s)
            end(told.trials[-1])
        losses.forget_expired()
        ledger.forget_expired()
        clock.now_s += 0.5
    return granted_s


def test_three_repeats_in_all_arrive_late_in_hours(ledger, losses, clock):
    """Guards against trials that go on for as long as the request comes."""
    lose_request(losses, *ENDPOINTS)

    def lose(row):
        lose_request(losses, f"t{row.id.hex()}")
        ledger.end(messages.TrialEnded(row.id, row.keys, LOST_END))

    late = run_trials(ledger, losses, clock, 3 * HOUR_S, lose)
    assert 1 <= len(late) <= ALLOWED_ARRIVALS


def test_three_repeats_in_all_arrive_late_though_no_end_is_told(
    ledger, losses, clock
):
    """Guards against callers who leave before their trial is lost."""
    lose_request(losses, *ENDPOINTS)

    def lose_later(row):
        lose_request(losses, f"t{row.id.hex()}")

    late = run_trials(ledger, losses, clock, 3 * HOUR_S, lose_later)
    assert 1 <= len(late) <= ALLOWED_ARRIVALS


def test_trials_of_a_request_and_its_parts_are_counted_together(
    ledger, losses, clock
):
    """Guards against a request that is tried again for each of its parts."""
    lose_request(losses, *ENDPOINTS)
    losses.record_answer((PART,), clock() + 1)
    choices = [(REQUEST,), (REQUEST, PART), (REQUEST, OTHER)]
    arrived = []

    def lose(row):
        arrived.append(row)
        lose_request(losses, f"t{row.id.hex()}")
        ledger.end(messages.TrialEnded(row.id, row.keys, LOST_END))

    for _ in range(60):
        for keys in choices:
            run_trials(ledger, losses, clock, 10, lose, keys)
    assert len(arrived) <= ALLOWED_ARRIVALS


def test_request_is_tried_now_and_then_if_no_endpoint_was_lost(
    ledger, losses, clock
):
    """Guards against refusing for ever what endpoints had no room for."""
    lose_request(losses, *ENDPOINTS)
    tried = run_trials(ledger, losses, clock, HOUR_S, lambda row: None)
    assert len(tried) > ALLOWED_ARRIVALS
    assert [one for one in tried if one < 600][ALLOWED_ARRIVALS:] == []


def test_request_that_was_answered_lately_is_tried_at_once(
    ledger, losses, clock
):
    """Guards against a loss of power that delays what comes all the time."""
    lose_request(losses, *ENDPOINTS)
    message = asked(REQUEST, clock, 0.0, answered=True)
    assert ledger.answer(message).granted
    assert not ledger.answer(message).granted
