from __future__ import annotations

import typing

import hypothesis
from hypothesis import strategies

from briarseam.claims import fold as folds
from briarseam.claims import keys
from briarseam.claims import records

NOW_MS = 1_800_000_000_000
WINDOW = keys.Window(3_600_000)
KEYS = tuple(keys.make(NOW_MS + number) for number in range(2))
ORGANISATIONS = ("havn", "kyst")
ATTEMPTS = ("a", "b", "c")


def new_fold() -> folds.Fold:
    fold = folds.Fold(WINDOW)
    fold.advance(NOW_MS)
    return fold


def claim(
    attempt: str,
    key: str = KEYS[0],
    organisation: str = "havn",
    body: bytes = b"x",
) -> records.Claim:
    return records.Claim(organisation, key, attempt, body, "agent-1", "1", "")


def not_run(attempt: str, key: str = KEYS[0]) -> records.NotRun:
    return records.NotRun("havn", key, attempt)


def done(attempt: str, status: int = 200) -> records.Done:
    return records.Done("havn", KEYS[0], attempt, records.Outcome(status))


def test_first_claim_wins_whichever_attempt_it_is() -> None:
    fold = new_fold()
    assert fold.claim(claim("a")) is folds.ClaimDecision.WON
    assert fold.claim(claim("b")) is folds.ClaimDecision.HELD
    assert fold.claim(claim("a")) is folds.ClaimDecision.WON


def test_keys_of_two_organisations_are_independent() -> None:
    fold = new_fold()
    assert (
        fold.claim(claim("a", organisation="havn")) is folds.ClaimDecision.WON
    )
    assert (
        fold.claim(claim("b", organisation="kyst")) is folds.ClaimDecision.WON
    )


def test_other_body_is_refused_even_after_not_run() -> None:
    fold = new_fold()
    fold.claim(claim("a"))
    fold.settle(not_run("a"))
    assert fold.claim(claim("b", body=b"y")) is folds.ClaimDecision.REUSED
    assert fold.claim(claim("c")) is folds.ClaimDecision.WON


def test_loser_cannot_free_the_winners_key() -> None:
    """Guards against a request that runs twice.

    Attempt b loses the key to a, and b's agent records that b did not
    run.  If that freed the key, c would win while a runs.
    """
    fold = new_fold()
    fold.claim(claim("a"))
    fold.claim(claim("b"))
    fold.settle(not_run("b"))
    assert fold.claim(claim("c")) is folds.ClaimDecision.HELD


def test_loser_never_wins_later() -> None:
    """Guards against a key that stays claimed although nothing runs.

    Attempt b loses to a and its caller is answered; a frees the key; then
    b's claim arrives a second time.  If it won, it would never be settled.
    """
    fold = new_fold()
    fold.claim(claim("a"))
    fold.claim(claim("b"))
    fold.settle(not_run("a"))
    assert fold.claim(claim("b")) is folds.ClaimDecision.HELD
    assert fold.claim(claim("c")) is folds.ClaimDecision.WON


def test_claim_that_arrives_after_its_not_run_is_void() -> None:
    """Guards against a key that stays claimed although nothing runs.

    The owner appends the claim only after the attempt's not_run.
    """
    fold = new_fold()
    fold.settle(not_run("a"))
    assert fold.claim(claim("a")) is folds.ClaimDecision.HELD
    assert fold.claim(claim("b")) is folds.ClaimDecision.WON


def test_done_is_final() -> None:
    fold = new_fold()
    fold.claim(claim("a"))
    fold.settle(done("a", 201))
    fold.settle(not_run("a"))
    fold.settle(done("a", 500))
    state = fold.find("havn", KEYS[0])
    assert state is not None
    assert state.outcome == records.Outcome(201)
    assert fold.claim(claim("b")) is folds.ClaimDecision.HELD


def test_lost_key_stays_held_until_its_outcome_arrives() -> None:
    fold = new_fold()
    fold.claim(claim("a"))
    fold.settle(records.Lost("havn", KEYS[0], "a"))
    assert fold.claim(claim("b")) is folds.ClaimDecision.HELD
    fold.settle(done("a"))
    state = fold.find("havn", KEYS[0])
    assert state is not None
    assert state.standing is folds.Standing.DONE


def test_dropped_key_is_always_refused() -> None:
    """Guards against a request that runs twice, days apart.

    The fold drops the key after the window, and a writer that was frozen
    meanwhile appends another claim.  The log's time of that record shows
    that the key is too old, independently of local clocks.
    """
    fold = new_fold()
    fold.claim(claim("a"))
    fold.settle(done("a"))
    fold.advance(NOW_MS + WINDOW.length_ms + 1)
    assert fold.size() == 0
    fold.advance(NOW_MS)
    assert fold.claim(claim("b")) is folds.ClaimDecision.TOO_OLD
    fold.settle(not_run("b"))
    assert fold.size() == 0


def test_key_from_the_future_is_refused() -> None:
    fold = new_fold()
    ahead = keys.make(NOW_MS + WINDOW.skew_ms + 1)
    assert fold.claim(claim("a", key=ahead)) is folds.ClaimDecision.FROM_FUTURE
    assert fold.size() == 0


def test_replay_bodies_are_bounded_but_outcomes_stay() -> None:
    fold = new_fold()
    body = bytes(folds.MAX_OUTCOME_BYTES // 2)
    made = [keys.make(NOW_MS) for _ in range(3)]
    for number, key in enumerate(made):
        fold.claim(claim(str(number), key=key))
        outcome = records.Outcome(200, body)
        fold.settle(records.Done("havn", key, str(number), outcome))
    first = fold.find("havn", made[0])
    assert first is not None
    assert first.outcome == records.Outcome(200, b"", False)
    assert fold.outcome_bytes == 2 * len(body)


item_strategy = strategies.one_of(
    strategies.builds(
        claim,
        strategies.sampled_from(ATTEMPTS),
        strategies.sampled_from(KEYS),
        strategies.sampled_from(ORGANISATIONS),
    ),
    strategies.builds(
        not_run,
        strategies.sampled_from(ATTEMPTS),
        strategies.sampled_from(KEYS),
    ),
    strategies.builds(done, strategies.sampled_from(ATTEMPTS)),
)


@hypothesis.given(strategies.lists(item_strategy, max_size=40))
@hypothesis.settings(max_examples=400, deadline=None)
def test_any_interleaving_has_one_holder_at_a_time(
    history: list[records.Item],
) -> None:
    """Guards against two agents that run one request.

    Records of several writers arrive in any order, duplicated and late.
    An attempt that was read back as the winner counts as running until its
    own not_run.  No other may win meanwhile, and none wins again later.
    """
    fold = new_fold()
    running: dict[tuple[str, str], str] = {}
    ended: set[tuple[str, str, str]] = set()
    for item in history:
        name = (item.organisation, item.key)
        if isinstance(item, records.Claim):
            if fold.claim(item) is folds.ClaimDecision.WON:
                assert running.setdefault(name, item.attempt) == item.attempt
                assert (*name, item.attempt) not in ended
            continue
        state = fold.find(*name)
        final = state is not None and state.standing is folds.Standing.DONE
        fold.settle(item)
        if isinstance(item, records.NotRun) and not final:
            ended.add((*name, item.attempt))
            if running.get(name) == item.attempt:
                del running[name]


@hypothesis.given(
    strategies.lists(item_strategy, max_size=30), strategies.data()
)
@hypothesis.settings(max_examples=100, deadline=None)
def test_repeated_batch_changes_no_holder(
    history: list[records.Item], data: typing.Any
) -> None:
    """A batch whose append was not answered is appended again later."""
    repeat_from = data.draw(strategies.integers(0, max(0, len(history) - 1)))
    later = data.draw(strategies.integers(repeat_from, len(history)))
    doubled = [*history[:later], *history[repeat_from:later], *history[later:]]
    once, twice = new_fold(), new_fold()
    for fold, sequence in ((once, history), (twice, doubled)):
        for item in sequence:
            if isinstance(item, records.Claim):
                fold.claim(item)
            else:
                fold.settle(item)
    for name, state in once.states.items():
        if state.standing is not folds.Standing.FREE:
            assert twice.states[name].attempt == state.attempt
