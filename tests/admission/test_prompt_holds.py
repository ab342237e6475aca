from __future__ import annotations

from briarseam.admission import crash_messages
from briarseam.admission import prompt_holds
from tests.admission import crashes


def test_prompt_runs_at_one_endpoint_until_it_has_finished():
    """Callers that send a prompt at once take down an engine each."""
    held = prompt_holds.PromptHolds()
    assert held.hold(crashes.hold("a", "engine-0")).group == "a"
    elsewhere = held.hold(crashes.hold("b", "engine-1"))
    assert (elsewhere.endpoint, elsewhere.group) == ("engine-0", "a")
    held.release(crashes.release("a", whole=True))
    assert held.hold(crashes.hold("c", "engine-2")).endpoint == "engine-2"


def test_prompt_whose_endpoint_died_is_suspect_to_its_owner():
    held = prompt_holds.PromptHolds()
    held.hold(crashes.hold("a", "engine-0"))
    held.release(crashes.release("a", suspect=True))
    assert held.hold(crashes.hold("b", "engine-1")).suspect
    held.release(crashes.release("b", whole=True))
    assert not held.hold(crashes.hold("c", "engine-1")).suspect


def test_run_that_is_not_heard_of_again_lets_the_prompt_go():
    """A prompt stays bound to an engine after its agent died."""
    now = [0.0]
    held = prompt_holds.PromptHolds(lambda: now[0])
    held.hold(crashes.hold("a", "engine-0"))
    now[0] += prompt_holds.HOLD_BOUND_S + 1
    assert held.hold(crashes.hold("b", "engine-1")).endpoint == "engine-1"


def test_run_known_to_its_owner_only_is_copied_on():
    """The owner of a prompt grants it, and dies with the endpoint.

    Whoever owns the prompt next tells where it ran, group and all.
    """
    held = prompt_holds.PromptHolds()
    held.copy(
        crash_messages.HoldCopy(
            crashes.CASE.fingerprint, "a", "engine-0", "first"
        )
    )
    holding = held.hold(crashes.hold("b", "engine-1"))
    assert (holding.endpoint, holding.group) == ("engine-0", "first")
    held.release(crashes.release("a", whole=True))
    assert held.hold(crashes.hold("c", "engine-1")).endpoint == "engine-1"
