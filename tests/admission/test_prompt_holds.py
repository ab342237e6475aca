from __future__ import annotations

from briarseam.admission import crash_messages
from briarseam.admission import prompt_holds
from tests.admission import crashes


def test_prompt_runs_at_one_endpoint_until_it_has_finished():
    """Guards against concurrent callers that take down an engine each."""
    holds = prompt_holds.PromptHolds()
    assert holds.hold(crashes.make_hold("a", "engine-0")).group == "a"
    other = holds.hold(crashes.make_hold("b", "engine-1"))
    assert (other.endpoint, other.group) == ("engine-0", "a")
    holds.release(crashes.make_release("a", whole=True))
    assert (
        holds.hold(crashes.make_hold("c", "engine-2")).endpoint == "engine-2"
    )


def test_prompt_whose_endpoint_died_is_suspect_to_its_owner():
    holds = prompt_holds.PromptHolds()
    holds.hold(crashes.make_hold("a", "engine-0"))
    holds.release(crashes.make_release("a", suspect=True))
    assert holds.hold(crashes.make_hold("b", "engine-1")).suspect
    holds.release(crashes.make_release("b", whole=True))
    assert not holds.hold(crashes.make_hold("c", "engine-1")).suspect


def test_hold_of_an_unreported_run_times_out():
    """Guards against a prompt that stays at an engine for good.

    The agent that granted its run has died and reports no end.
    """
    now = [0.0]
    holds = prompt_holds.PromptHolds(lambda: now[0])
    holds.hold(crashes.make_hold("a", "engine-0"))
    now[0] += prompt_holds.HOLD_TIMEOUT_S + 1
    assert (
        holds.hold(crashes.make_hold("b", "engine-1")).endpoint == "engine-1"
    )


def test_copied_hold_keeps_endpoint_and_group():
    """Guards against missing a loss when the prompt's owner dies as well.

    The owner grants the prompt itself and dies with the endpoint.  The next
    owner has a copy of the hold, with the endpoint and the group.
    """
    holds = prompt_holds.PromptHolds()
    holds.copy(
        crash_messages.HoldCopy(
            crashes.PROMPT.fingerprint, "a", "engine-0", "first"
        )
    )
    holding = holds.hold(crashes.make_hold("b", "engine-1"))
    assert (holding.endpoint, holding.group) == ("engine-0", "first")
    holds.release(crashes.make_release("a", whole=True))
    assert (
        holds.hold(crashes.make_hold("c", "engine-1")).endpoint == "engine-1"
    )
