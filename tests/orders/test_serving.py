from __future__ import annotations

import concurrent.futures
import threading

import pytest

from briarseam.testing import answers
from briarseam.testing import deployment
from briarseam.testing import engine_messages
from briarseam.testing import engine_switches
from briarseam.testing import waiting

MODEL = deployment.MODEL
TOKENS = 8
CALLERS = 4


class Callers:
    """Callers that each send one prompt after the other."""

    def __init__(self, running: deployment.Deployment) -> None:
        self.running = running
        self.stopping = threading.Event()
        self.answers_received = []
        self.threads = [
            threading.Thread(target=self.send, args=(number,))
            for number in range(CALLERS)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *raised):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def send(self, number: int) -> None:
        caller = self.running.caller(instance=number % 2)
        serial = 0
        while not self.stopping.is_set():
            serial += 1
            prompt = f"caller {number} asks {serial}"
            body = deployment.prompt_body(prompt, session=f"s-{prompt}")
            self.answers_received.append((prompt, caller.ask(body)))

    def version_of(self, prompt, answer) -> str:
        """Return the version that generated the complete answer."""
        for version in ("v1", "v2"):
            if answer.tokens == answers.expected_answer(
                MODEL, version, prompt, TOKENS
            ):
                return version
        raise AssertionError(f"{prompt}: {answer}")


@pytest.fixture
def running(tmp_path):
    shape = deployment.Shape(instances=2, engines=4, services=0)
    switches = engine_switches.Switches(load_s=0.3, token_s=0.002)
    with deployment.Deployment(tmp_path, shape, switches) as started:
        yield started


def versions(running):
    return {one.weights.version(MODEL) for one in running.engines.values()}


def test_no_request_is_refused_or_mixes_versions_during_a_rollout(running):
    """Callers send requests while four engines load a new version.

    An engine that changes its version between the grant and the run
    refuses the run, and the request goes to another engine.  Otherwise an
    answer could mix two versions.
    """
    with Callers(running) as callers:
        waiting.until(lambda: len(callers.answers_received) > 20)
        running.publish({f"models/{MODEL}": {"version": "v2", "floor": 2}})
        waiting.until(lambda: versions(running) == {"v2"}, 20)
        swapped = len(callers.answers_received)
        waiting.until(lambda: len(callers.answers_received) > swapped + 20)
    assert [one for _, one in callers.answers_received if not one.done] == []
    served = [callers.version_of(*one) for one in callers.answers_received]
    assert served[0] == "v1"
    assert set(served[-CALLERS:]) == {"v2"}


def test_runs_refused_by_a_reloaded_engine_are_served_elsewhere(tmp_path):
    """Many requests are granted an engine that has just loaded other weights:
    more than the retry budget allows to retry.
    """
    shape = deployment.Shape(instances=1, engines=2, services=0)
    switches = engine_switches.Switches(prefill_s_per_piece=0.01, token_s=0)
    refused = []
    enough_granted = threading.Event()
    with deployment.Deployment(tmp_path, shape, switches) as running:
        reloaded, other = (one.weights for one in running.engines.values())
        model_of_other = other.model

        def refuse(name):
            refused.append(name)
            if len(refused) >= 8:
                enough_granted.set()
            enough_granted.wait(5)
            return engine_messages.ModelState("v2")

        def wait(name):
            enough_granted.wait(5)
            return model_of_other(name)

        def send(number):
            body = deployment.prompt_body(f"caller {number}", session="")
            return running.caller().ask(body)

        reloaded.model = refuse
        other.model = wait
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            received = list(pool.map(send, range(24)))
    assert enough_granted.is_set()
    assert [answer for answer in received if not answer.done] == []
