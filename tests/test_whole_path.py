from __future__ import annotations

import concurrent.futures

import pytest

from briarseam.testing import answers
from briarseam.testing import deployment
from briarseam.testing import waiting
from briarseam.testing import words


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp("deployment")
    shape = deployment.Shape(instances=2)
    with deployment.Deployment(folder, shape) as started:
        yield started


def expected(prompt, count=8):
    return answers.expected_answer(
        deployment.MODEL, deployment.VERSION, prompt, count
    )


def test_a_prompt_gets_its_whole_answer(running):
    """A caller sends a prompt of several thousand tokens to an entry; the
    agent grants an engine, the entry relays its stream.  The caller sees
    every token in order, then ``done``.
    """
    prompt = words.prompt(3000, "kitchen")
    answer = running.caller().ask(deployment.prompt_body(prompt))
    assert answer.done, answer
    assert answer.tokens == expected(prompt)


def test_three_concurrent_callers_get_their_own_answers(running):
    """Three callers ask at once, at both entries.  A mix-up of streams
    would show as one of them getting another's tokens.
    """
    prompts = [words.prompt(1200, number) for number in range(3)]

    def ask(number):
        caller = running.caller(instance=number % 2)
        return caller.ask(deployment.prompt_body(prompts[number]))

    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        got = list(pool.map(ask, range(3)))
    assert [one.tokens for one in got] == [expected(one) for one in prompts]


def test_a_service_call_gets_the_services_answer(running):
    """A caller makes a call to a plain service that may be repeated; the
    service's own answer comes back.
    """
    result = running.caller().call(deployment.SERVICE, "look", {"key": "k"})
    assert result.status == 200
    assert result.body["call"] == "look"


@pytest.mark.parametrize(
    ("changes", "status", "reason"),
    [
        pytest.param({"model": "none"}, 404, "unknown-model", id="model"),
        pytest.param({"max_tokens": 0}, 400, "malformed", id="max-tokens"),
        pytest.param({"surprise": 1}, 400, "malformed", id="unknown-field"),
        pytest.param({"prompt": 7}, 400, "malformed", id="prompt-type"),
        pytest.param(
            {"idempotent": False}, 400, "key-invalid", id="key-missing"
        ),
    ],
)
def test_a_bad_request_is_refused_as_not_run(running, changes, status, reason):
    """A caller sends something that cannot be run.  It gets a problem
    document that says what is wrong and that nothing ran.
    """
    body = deployment.prompt_body("a prompt", **changes)
    answer = running.caller().ask(body)
    assert answer.status == status
    assert answer.problem["reason"] == reason
    assert answer.ran == "no"


def test_a_wrong_token_is_refused(running):
    """Somebody without an organisation's token asks; nothing runs."""
    caller = running.caller()
    caller.token = "guessed"
    answer = caller.ask(deployment.prompt_body("a prompt"))
    assert (answer.status, answer.ran) == (401, "no")


def test_where_names_the_entries(running):
    """A caller asks which entries to use and gets those of the cell."""
    wanted = sorted(instance.address for instance in running.instances)
    waiting.until(lambda: sorted(ask_where(running)) == wanted)


def ask_where(running):
    """Return the addresses that an entry gives."""
    response = running.caller().open("GET", "/v1/where?session=s", None, {})
    assert response is not None
    return response.json()["addresses"]


def test_an_answer_resumes_at_another_entry(running):
    """A caller loses its connection after some tokens and resumes at the
    other instance's entry, which keeps no table: the answer id says where
    the run is.
    """
    prompt = words.prompt(1000, "resumed")
    caller = running.caller(instance=0)
    answer = caller.ask(deployment.prompt_body(prompt))
    del answer.tokens[3:]
    answer.done = False
    resumed = running.caller(instance=1).resume(answer)
    assert resumed.done
    assert resumed.tokens == expected(prompt)
