from __future__ import annotations

import msgpack
import pytest

from briarseam.forwarding import loss_counts
from briarseam.forwarding import trial_ledger
from briarseam.forwarding import trial_messages as messages
from briarseam.forwarding import trial_requests
from briarseam.wire import codec
from briarseam.wire import replies
from tests import clocks

PART = b"part"
OTHER = b"other"
ENDPOINTS = ("e1", "e2", "e3")
WAITS_S = trial_ledger.WAITS_S


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


def test_one_instance_gets_a_trial(coordinator, clock):
    """Guards against each instance trying a prompt of its own."""
    instances = [other_instance(coordinator, clock) for _ in range(20)]
    clock.now_s += WAITS_S[0]
    granted = [one for one in instances if ask(one) is None]
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
            if ask(one) is None:
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
    assert ask(first) is None
    clock.now_s += 0.1
    first.losses.record_answer((PART,), clock())
    first.end((PART,), messages.TrialEnd.ANSWERED)
    assert ask(second) is None
    assert second.losses.suspects((PART,)) == ()


def test_trial_that_reached_no_endpoint_is_not_counted(coordinator, clock):
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0]
    assert ask(requests) is None
    requests.end((PART,), messages.TrialEnd.UNUSED)
    clock.now_s += WAITS_S[0]
    assert ask(requests) is None


def test_lost_trial_delays_the_next_one(coordinator, clock):
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0]
    assert ask(requests) is None
    clock.now_s += WAITS_S[1] / 2
    assert ask(requests) is not None
    clock.now_s += WAITS_S[1] / 2
    assert ask(requests) is None


def test_prompt_with_two_suspected_parts_waits_for_both(coordinator, clock):
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0]
    requests.losses.record_loss(OTHER, "e9", clock())
    assert ask(requests, PART, OTHER) is not None
    assert coordinator.ledger.trials == {}
    clock.now_s += WAITS_S[0]
    assert ask(requests, PART, OTHER) is None
    assert set(coordinator.ledger.trials) == {frozenset((PART, OTHER))}


def test_companion_of_a_crashing_part_is_tried_without_it(coordinator, clock):
    """Guards against a rare caller whose part only comes with the cause."""
    requests = other_instance(coordinator, clock)
    requests.losses.record_loss(OTHER, "e9", clock())
    clock.now_s += WAITS_S[0]
    assert ask(requests, PART, OTHER) is None
    requests.end((PART, OTHER), messages.TrialEnd.LOST)
    clock.now_s += WAITS_S[0]
    assert ask(requests, PART, OTHER) is not None
    clock.now_s += trial_requests.MIN_RETRY_S
    assert ask(requests, OTHER) is None
    requests.end((OTHER,), messages.TrialEnd.ANSWERED)
    lost = coordinator.ledger.lost_trials(frozenset((PART, OTHER)))
    assert lost == (messages.LostTrials((PART,), 1),)


def test_part_is_refused_while_the_coordinator_does_not_answer(
    coordinator, clock
):
    """Guards against trials that nobody has granted."""
    coordinator.is_away = True
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0]
    assert ask(requests) is not None
    coordinator.is_away = False
    clock.now_s += trial_requests.MIN_RETRY_S
    assert ask(requests) is None


def test_coordinator_is_not_asked_for_each_prompt(coordinator, clock):
    requests = other_instance(coordinator, clock)
    for _ in range(50):
        assert ask(requests) is not None
    assert coordinator.asked == 1


def test_next_coordinator_knows_the_trials_of_the_former(
    coordinator, ledger, losses, clock
):
    """Guards against trials that begin anew when the coordinator ends."""
    requests = other_instance(coordinator, clock)
    clock.now_s += WAITS_S[0]
    assert ask(requests) is None
    clock.now_s += trial_ledger.OPEN_S
    successor = trial_ledger.TrialLedger(losses, clock)
    successor.consume("former", ledger.provide())
    coordinator.ledger = successor
    clock.now_s += WAITS_S[0] / 2
    assert ask(requests) is not None


def test_trials_of_parts_without_losses_are_not_taken_over(clock, ledger):
    """Guards against old trials that delay a part which was answered."""
    clock.now_s += WAITS_S[0]
    peer = trial_ledger.TrialLedger(loss_counts.LossCounts(clock), clock)
    peer.consume("peer", msgpack.packb([[[PART], 2]]))
    assert peer.trials == {}
    ledger.consume("peer", msgpack.packb([[[PART], 2]]))
    assert ledger.trials[frozenset((PART,))].lost == 2


def test_trials_are_forgotten_after_a_while(ledger, clock):
    ledger.consume("peer", msgpack.packb([[[PART], 2]]))
    clock.now_s += trial_ledger.TRIALS_TTL_S
    ledger.forget_expired()
    assert ledger.trials == {}


def test_retry_after_is_bounded(coordinator, clock):
    requests = other_instance(coordinator, clock)
    coordinator.ledger.consume("peer", msgpack.packb([[[PART], 3]]))
    refused = ask(requests)
    assert refused.retry_after_s == trial_requests.MAX_RETRY_S
