from __future__ import annotations

import types

import pytest

from briarseam.compose import node_crashes
from briarseam.crashes import loss_counts
from briarseam.crashes import trial_ledger
from briarseam.crashes import trial_messages as messages
from briarseam.wire import replies

KEY = b"part"
ASKED = messages.TrialAsked((messages.SuspectAsked(KEY, 10_000),), ())


@pytest.fixture
def instances():
    """The view of an instance that has just joined two registered ones."""
    registered = {"one": None, "two": None}
    return types.SimpleNamespace(
        own_name="one",
        membership=object(),
        registrations=types.SimpleNamespace(by_name=registered),
        all_names=lambda: ["one"],
        all=list,
        weight_of=lambda name: 1.0,
    )


@pytest.fixture
def coordinator(instances):
    ledger = trial_ledger.TrialLedger(loss_counts.LossCounts())
    return node_crashes.TrialCoordinator(ledger, instances, None)


def test_instance_that_knows_no_peers_yet_grants_no_trial(
    coordinator, instances
):
    """Guards against a trial at each instance when all start together."""
    with pytest.raises(replies.NoReplyError):
        coordinator.ask_trial(ASKED)
    instances.all_names = lambda: ["one", "two"]
    assert coordinator.ask_trial(ASKED).granted


def test_instance_that_has_not_joined_grants_no_trial(coordinator, instances):
    instances.membership = None
    with pytest.raises(replies.NoReplyError):
        coordinator.ask_trial(ASKED)


def test_instance_does_not_wait_for_one_that_is_gone(coordinator, monkeypatch):
    """Guards against a registration that keeps suspects refused."""
    monkeypatch.setattr(node_crashes, "MEET_S", 0.0)
    assert coordinator.ask_trial(ASKED).granted
