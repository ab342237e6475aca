"""The walk through a running demo deployment, one step after the other.

The demo's script starts the processes; this only asks them things, as
callers and the platform would.
"""

from __future__ import annotations

import dataclasses
import json
import time
import typing

import msgpack
import urllib3

from briarseam.admission import answer_id
from briarseam.testing import caller
from briarseam.testing import words

PROMPT_TOKENS = 5000
OTHER_PROMPTS = 8
MAX_TOKENS = 24
DEADLINE_MS = 20_000
SHOWN_TOKENS = 8
RETRY_S = 0.25
TIMEOUT_S = 5.0
HTTP_OK = 200


class DemoError(Exception):
    """A step did not do what it should."""


@dataclasses.dataclass(frozen=True)
class Demo:
    """The deployment to walk through.

    Attributes
    ----------
    entries
        Addresses of its entries.
    token
        A caller's bearer token.
    model, service, call
        What to ask.
    services
        Addresses of the plain service's endpoints, to count runs.
    """

    entries: tuple[str, ...]
    token: str
    model: str
    service: str
    call: str
    services: tuple[str, ...]

    def caller(self, number: int = 0) -> caller.Caller:
        """Return a caller at one of the entries."""
        return caller.Caller(self.entries[number], self.token)

    def body(self, prompt: str, session: str) -> dict[str, typing.Any]:
        """Return a request for an answer."""
        return {
            "model": self.model,
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "deadline_ms": DEADLINE_MS,
            "session": session,
        }


def walk(demo: Demo, say: typing.Callable[[str], None]) -> str:
    """Walk through the deployment; return the last answer's run id.

    Raises
    ------
    DemoError
        At the first step that fails.
    """
    prompt = words.prompt(PROMPT_TOKENS, "kitchen-17")
    say(f"A prompt of {PROMPT_TOKENS} tokens, for the first time:")
    first = ask(demo, prompt, "kitchen-17")
    say_answer(first, say)
    say(f"{OTHER_PROMPTS} other prompts push it out of the engine's memory:")
    for number in range(OTHER_PROMPTS):
        other = words.prompt(PROMPT_TOKENS, f"other-{number}")
        ask(demo, other, "kitchen-17")
    say("The first prompt again:")
    again = ask(demo, prompt, "kitchen-17")
    say_answer(again, say)
    if again.tokens != first.tokens:
        raise DemoError("the second answer differs from the first")
    ratio = again.first_token_s / first.first_token_s
    say(f"Time to first token: {ratio:.2f} of the first time's.")
    book(demo, say)
    return run_id_of(again.answer_id)


def run_id_of(sealed: str) -> str:
    """Return the run that an answer id names, unchecked.

    Callers treat answer ids as opaque; the demo looks inside to show the
    operators' view of the same run.
    """
    payload = answer_id.decode(sealed)[answer_id.MAC_BYTES :]
    run_id: str = msgpack.unpackb(payload)[2]
    return run_id


def ask(
    demo: Demo, prompt: str, session: str, entry: int = 0
) -> caller.Answer:
    """Return a whole answer; ask again while told to come back."""
    deadline = time.monotonic() + DEADLINE_MS / 1000
    while True:
        answer = demo.caller(entry).ask(demo.body(prompt, session))
        if answer.done:
            return answer
        retry_after = answer.headers.get("Retry-After")
        if retry_after is None or time.monotonic() > deadline:
            raise DemoError(f"no answer: {answer.status} {answer.problem}")
        time.sleep(RETRY_S)


def say_answer(
    answer: caller.Answer, say: typing.Callable[[str], None]
) -> None:
    """Print the head of an answer and how long its first token took."""
    shown = " ".join(answer.tokens[:SHOWN_TOKENS])
    say(f"  {shown} ... ({len(answer.tokens)} tokens)")
    say(f"  first token after {answer.first_token_s * 1000:.0f} ms")
    say(f"  {answer.reused_tokens} prompt tokens reused")


def book(demo: Demo, say: typing.Callable[[str], None]) -> None:
    """Book once and again with the same key; one run is due."""
    key = caller.new_key()
    body = {"key": key, "kitchen": "17"}
    one = submit(demo, body, key)
    two = submit(demo, body, key)
    if one.body != two.body:
        raise DemoError("the same key got two answers")
    runs = sum(count_runs(address, key) for address in demo.services)
    if runs != 1:
        raise DemoError(f"the submission ran {runs} times")
    say("A submission with an Idempotency-Key, then the same again:")
    say(f"  {json.dumps(one.body.get('confirmation'))} both times, {runs} run")


def submit(demo: Demo, body: dict[str, str], key: str) -> caller.CallResult:
    """Return a submission's answer; send it again while told to."""
    deadline = time.monotonic() + DEADLINE_MS / 1000
    while True:
        result = demo.caller().call(demo.service, demo.call, body, key)
        if result.status == HTTP_OK:
            return result
        if "Retry-After" not in result.headers or time.monotonic() > deadline:
            raise DemoError(f"the submission failed: {result}")
        time.sleep(RETRY_S)


def count_runs(service: str, key: str) -> int:
    """Return how often a stand-in service ran what a key names."""
    response = urllib3.request(
        "GET",
        f"http://{service}/control/runs",
        timeout=TIMEOUT_S,
        retries=False,
    )
    return int(response.json()["runs"].get(key, 0))
