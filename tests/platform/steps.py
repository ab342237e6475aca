"""Steps of requests, as an instance logs them."""

from __future__ import annotations

import structlog.testing

from briarseam.testing import waiting
from tests.platform import raw_caller
from tests.platform import system as systems

TIMEOUT_S = 10


def steps_of(logs: list) -> list[str]:
    """Return the steps of the requests that have ended."""
    return [
        step
        for line in logs
        if line["event"] == "request_ended"
        for step in line["steps"]
    ]


def receive(
    system: systems.System, path: str, version: str = "1.1"
) -> tuple[raw_caller.Received, list[str]]:
    """Return the answer to a stream's request, and its steps."""
    with structlog.testing.capture_logs() as logs:
        received = system.receive(path, version, **systems.PROMPT)
        waiting.until(lambda: steps_of(logs), TIMEOUT_S)
    return received, steps_of(logs)
