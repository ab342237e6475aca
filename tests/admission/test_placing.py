from __future__ import annotations

import concurrent.futures
import dataclasses

import pytest

from briarseam.admission import messages
from briarseam.admission import placing
from briarseam.testing import deployment
from briarseam.testing import waiting
from briarseam.testing import words


def test_requests_beyond_max_in_flight_are_refused(tmp_path):
    """With a limit of two running requests the third is refused at once with
    a retry time, and the first two get their answers.
    """
    with deployment.Deployment(tmp_path) as running:
        placer = running.instances[0].agent.serving.placer
        placer.parts = dataclasses.replace(placer.parts, max_in_flight=2)
        for engine in running.engines.values():
            engine.set(token_s=0.05)

        def send_prompt(number):
            body = deployment.prompt_body(
                words.prompt(100, number), max_tokens=40
            )
            return running.caller().ask(body)

        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            first = [pool.submit(send_prompt, number) for number in range(2)]
            waiting.until(lambda: len(placer.runs) == 2, what="two run")
            refused = send_prompt(3)
            answers = [one.result() for one in first]
    assert refused.status == 503
    assert refused.problem["reason"] == "overloaded"
    assert refused.ran == "no"
    assert int(refused.headers["Retry-After"]) >= 1
    assert all(answer.done for answer in answers)


@pytest.mark.parametrize(
    ("lost", "reloaded", "charged"),
    [
        (("a",), (), True),
        (("a",), ("a",), False),
        (("b", "a"), ("a",), True),
        (("a", "b"), ("a", "b"), True),
        (("a", "a"), ("a", "a"), True),
    ],
)
def test_only_the_first_refusal_for_other_weights_is_not_charged(
    lost, reloaded, charged
):
    """Without a charge, a request would be retried without a bound."""
    request = messages.Admit(
        token_digest="",
        model="draft",
        session="",
        chain=(),
        prompt_tokens=1,
        max_tokens=4,
        priority=5,
        deadline_ms=3000,
        lost=lost,
        refused=reloaded,
        reloaded=reloaded,
    )
    assert placing.is_charged(request) is charged


@pytest.mark.parametrize(
    ("lost", "charged"), [(("a",), False), (("a", "b"), True)]
)
def test_only_the_first_continuation_is_not_charged(lost, charged):
    """An endpoint's death breaks off more answers than the budget allows."""
    request = messages.Admit(
        token_digest="",
        model="draft",
        session="",
        chain=(),
        prompt_tokens=1,
        max_tokens=4,
        priority=5,
        deadline_ms=3000,
        continues="answer",
        lost=lost,
    )
    assert placing.is_charged(request) is charged
