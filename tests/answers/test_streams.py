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


def expected_tokens(prompt: str, tokens: int = LONG) -> list[str]:
    return answers.expected_answer(
        deployment.MODEL, deployment.VERSION, prompt, tokens
    )


def begin_answer(
    running, prompt: str, count: int = 3, **changes
) -> caller.Answer:
    """Read some tokens of a long answer, then disconnect."""
    answer = caller.Answer()
    body = deployment.prompt_body(prompt, max_tokens=LONG, **changes)
    stream = running.caller(instance=0).stream(body, answer)
    for _ in itertools.islice(stream, count):
        pass
    stream.close()
    return answer


def count_active_runs(running) -> int:
    return sum(
        len(engine.scheduler.prefilling) + len(engine.scheduler.decoding)
        for engine in running.engines.values()
    )


def count_granted_runs(running) -> int:
    return sum(
        len(instance.agent.serving.placer.runs)
        for instance in running.instances
    )


def continue_at(running, answer, prompt, **headers) -> caller.Answer:
    """Resend a prompt to the other entry to have it continued."""
    client = running.caller(instance=1)
    body = deployment.prompt_body(prompt, max_tokens=LONG, prior=answer.tokens)
    response = client.open(
        "POST",
        "/v1/answers",
        json.dumps(body).encode(),
        {"Answer-Id": answer.answer_id, **headers},
    )
    for _ in client.follow(response, answer, time.monotonic()):
        pass
    return answer


def test_run_of_disconnected_caller_is_cancelled(running):
    """Guards against engines that compute answers without a reader.

    A caller disconnects and does not come back; its run is kept for the
    grace time, then cancelled, and no longer counts against any limit.
    """
    begin_answer(running, "tide tables for Rumoi")
    waiting.until(
        lambda: not count_active_runs(running), what="cancelled runs"
    )
    waiting.until(
        lambda: not count_granted_runs(running), what="released grants"
    )
    assert all(not engine.is_complete() for engine in runs_of(running))


def runs_of(running) -> list:
    """Return the runs that the engines have recorded."""
    return [
        RecordedRun(run)
        for engine in running.engines.values()
        for run in engine.book.kept()
    ]


class RecordedRun:
    """A run as recorded by its engine."""

    def __init__(self, run) -> None:
        self.run = run

    def is_complete(self) -> bool:
        return self.run.failure is None and self.run.length == LONG


@pytest.mark.parametrize("entry", [0, 1], ids=["same entry", "other entry"])
def test_resumed_run_is_not_cancelled(running, entry):
    """Guards against an answer that fails after its caller resumed it.

    For the first entry the caller is still disconnected while another entry
    relays the rest for longer than the grace time.
    """
    answer = begin_answer(running, "swell at Ishikari")
    running.caller(instance=entry).resume(answer)
    assert answer.done, answer.problem
    assert answer.tokens == expected_tokens("swell at Ishikari")


def test_answer_of_stopped_endpoint_is_continued_at_another(running):
    """An engine stops during an answer; the caller notices nothing."""
    prompt = words.prompt(50, "continued")
    answer = caller.Answer()
    body = deployment.prompt_body(prompt, max_tokens=LONG)
    stream = running.caller().stream(body, answer)
    next(stream)
    serving_engine = next(
        engine
        for engine in running.engines.values()
        if engine.scheduler.decoding
    )
    serving_engine.stop()
    for _ in stream:
        pass
    assert answer.done, answer.problem
    assert answer.tokens == expected_tokens(prompt)


def test_all_answers_of_an_endpoint_are_continued(running):
    """An engine stops during many answers; one other engine remains."""
    prompts = [
        words.prompt(20, f"one of many {number}") for number in range(10)
    ]
    with concurrent.futures.ThreadPoolExecutor(len(prompts)) as pool:
        futures = [
            pool.submit(
                running.caller(instance=number % 2).ask,
                deployment.prompt_body(
                    prompt, max_tokens=LONG, session=prompt[:20]
                ),
            )
            for number, prompt in enumerate(prompts)
        ]
        waiting.until(lambda: count_active_runs(running) == len(prompts))
        max(
            running.engines.values(),
            key=lambda engine: len(engine.scheduler.decoding),
        ).stop()
        results = [future.result() for future in futures]
    assert [result.problem for result in results] == [{}] * len(prompts)
    assert [result.tokens for result in results] == list(
        map(expected_tokens, prompts)
    )


def test_answer_is_continued_on_request_after_its_endpoint_is_gone(running):
    """A caller resumes an answer whose engine is gone.

    The refusal says that the request ran and how to continue it; the prompt
    resent with the answer id returns the rest.
    """
    prompt = words.prompt(50, "come back")
    answer = begin_answer(running, prompt)
    for engine in running.engines.values():
        if engine.book.kept():
            engine.stop()
    resumed = running.caller(instance=1).resume(answer)
    assert (resumed.status, resumed.ran) == (502, "yes")
    assert "Answer-Id" in resumed.problem["detail"]
    resumed.problem = {}
    continued = continue_at(running, resumed, prompt)
    assert continued.done, continued.problem
    assert continued.tokens == expected_tokens(prompt)


def test_answer_is_not_continued_under_another_version(running):
    """Guards against an answer that mixes two weight versions."""
    prompt = "berth plan"
    answer = begin_answer(running, prompt)
    running.publish({f"models/{deployment.MODEL}": {"version": "v2"}})
    for engine in running.engines.values():
        engine.stop()
    waiting.until(running.is_serving, what="serving under the new version")
    continued = continue_at(running, answer, prompt)
    assert not continued.done
    assert continued.ran == "yes"
    assert len(continued.tokens) == len(answer.tokens)


def test_continuation_with_wrong_token_count_is_refused(running):
    """Last-Event-ID does not match the number of tokens sent."""
    answer = begin_answer(running, "certificate")
    refused = continue_at(
        running, answer, "certificate", **{"Last-Event-ID": "7"}
    )
    assert (refused.status, refused.ran) == (400, "no")


def test_foreign_answer_id_is_not_continued(running):
    """An organisation cannot continue the answer of another one."""
    answer = begin_answer(running, "log sheet")
    client = running.caller("south")
    body = deployment.prompt_body("log sheet", prior=answer.tokens)
    response = client.open(
        "POST",
        "/v1/answers",
        json.dumps(body).encode(),
        {"Answer-Id": answer.answer_id},
    )
    assert response is not None
    assert response.status == 400
