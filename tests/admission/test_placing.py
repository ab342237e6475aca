from __future__ import annotations

import concurrent.futures
import dataclasses

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
