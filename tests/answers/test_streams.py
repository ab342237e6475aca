from __future__ import annotations

import concurrent.futures
import itertools
import json
import time

import pytest

from briarseam.testing import answers
from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import waiting
from briarseam.testing import words

LONG = 100


def expected(prompt: str, tokens: int = LONG) -> list[str]:
    return answers.expected_answer(
        deployment.MODEL, deployment.VERSION, prompt, tokens
    )


def begin(running, prompt: str, count: int = 3, **changes) -> caller.Answer:
    """Take some tokens of a long answer, then hang up."""
    answer = caller.Answer()
    body = deployment.prompt_body(prompt, max_tokens=LONG, **changes)
    stream = running.caller(instance=0).stream(body, answer)
    for _ in itertools.islice(stream, count):
        pass
    stream.close()
    return answer


def under_way(running) -> int:
    return sum(
        len(engine.scheduler.prefilling) + len(engine.scheduler.decoding)
        for engine in running.engines.values()
    )


def granted(running) -> int:
    return sum(
        len(instance.agent.serving.placer.runs)
        for instance in running.instances
    )


def continue_at(running, answer, prompt, **headers) -> caller.Answer:
    """Send a prompt again, to be continued, at the other entry."""
    asker = running.caller(instance=1)
    body = deployment.prompt_body(prompt, max_tokens=LONG, prior=answer.tokens)
    response = asker.open(
        "POST",
        "/v1/answers",
        json.dumps(body).encode(),
        {"Answer-Id": answer.answer_id, **headers},
    )
    for _ in asker.follow(response, answer, time.monotonic()):
        pass
    return answer


def test_run_of_a_caller_that_is_gone_is_cancelled(running):
    """Engines compute answers that nobody reads.

    A skipper's tablet loses its link for good; the run is kept for a
    while, then cancelled, and counts against no limit any more.
    """
    begin(running, "tide tables for Rumoi")
    waiting.until(lambda: not under_way(running), what="the cancelling")
    waiting.until(lambda: not granted(running), what="the counts")
    assert all(not engine.is_done() for engine in runs_of(running))


def runs_of(running) -> list:
    """Return the runs of all engines, as their own books have them."""
    return [
        Finished(run)
        for engine in running.engines.values()
        for run in engine.book.kept()
    ]


class Finished:
    """A run as the engine has it."""

    def __init__(self, run) -> None:
        self.run = run

    def is_done(self) -> bool:
        return self.run.failure is None and self.run.length == LONG


@pytest.mark.parametrize("entry", [0, 1], ids=["same entry", "other entry"])
def test_run_that_was_resumed_is_not_cancelled(running, entry):
    """An answer ends in an error after its caller came back.

    The first entry still counts the caller as gone while another one
    relays the rest, for longer than runs are kept.
    """
    answer = begin(running, "swell at Ishikari")
    running.caller(instance=entry).resume(answer)
    assert answer.done, answer.problem
    assert answer.tokens == expected("swell at Ishikari")


def test_endpoint_gone_is_continued_at_another(running):
    """An engine stops in the middle of an answer; the caller sees nothing."""
    prompt = words.prompt(50, "continued")
    answer = caller.Answer()
    body = deployment.prompt_body(prompt, max_tokens=LONG)
    stream = running.caller().stream(body, answer)
    next(stream)
    busy = next(
        engine
        for engine in running.engines.values()
        if engine.scheduler.decoding
    )
    busy.stop()
    for _ in stream:
        pass
    assert answer.done, answer.problem
    assert answer.tokens == expected(prompt)


def test_all_answers_of_an_endpoint_are_continued(running):
    """An engine stops that was giving many answers; one other is left."""
    prompts = [words.prompt(20, f"one of many {one}") for one in range(10)]
    with concurrent.futures.ThreadPoolExecutor(len(prompts)) as pool:
        asked = [
            pool.submit(
                running.caller(instance=number % 2).ask,
                deployment.prompt_body(
                    prompt, max_tokens=LONG, session=prompt[:20]
                ),
            )
            for number, prompt in enumerate(prompts)
        ]
        waiting.until(lambda: under_way(running) == len(prompts))
        max(
            running.engines.values(),
            key=lambda engine: len(engine.scheduler.decoding),
        ).stop()
        got = [one.result() for one in asked]
    assert [one.problem for one in got] == [{}] * len(prompts)
    assert [one.tokens for one in got] == list(map(expected, prompts))


def test_answer_is_continued_after_its_endpoint_is_gone(running):
    """A caller comes back to an answer whose engine has been replaced.

    Resuming says that it ran and how to go on; the prompt sent again with
    the answer's id gives the rest.
    """
    prompt = words.prompt(50, "come back")
    answer = begin(running, prompt)
    for engine in running.engines.values():
        if engine.book.kept():
            engine.stop()
    resumed = running.caller(instance=1).resume(answer)
    assert (resumed.status, resumed.ran) == (502, "yes")
    assert "Answer-Id" in resumed.problem["detail"]
    resumed.problem = {}
    continued = continue_at(running, resumed, prompt)
    assert continued.done, continued.problem
    assert continued.tokens == expected(prompt)


def test_answer_is_not_continued_under_another_version(running):
    """Half of an answer is one weight version's, half another's."""
    prompt = "berth plan"
    answer = begin(running, prompt)
    running.publish({f"models/{deployment.MODEL}": {"version": "v2"}})
    for engine in running.engines.values():
        engine.stop()
    waiting.until(running.is_serving, what="the new version is known")
    continued = continue_at(running, answer, prompt)
    assert not continued.done
    assert continued.ran == "yes"
    assert len(continued.tokens) == len(answer.tokens)


def test_continuation_must_fit_the_answer(running):
    """A caller names another number of tokens than it sends."""
    answer = begin(running, "certificate")
    refused = continue_at(
        running, answer, "certificate", **{"Last-Event-ID": "7"}
    )
    assert (refused.status, refused.ran) == (400, "no")


def test_foreign_answer_id_is_not_continued(running):
    """An organisation has another one's answer continued."""
    answer = begin(running, "log sheet")
    asker = running.caller("south")
    body = deployment.prompt_body("log sheet", prior=answer.tokens)
    response = asker.open(
        "POST",
        "/v1/answers",
        json.dumps(body).encode(),
        {"Answer-Id": answer.answer_id},
    )
    assert response is not None
    assert response.status == 400
