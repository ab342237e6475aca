"""Turning stand-ins' switches at set times."""

from __future__ import annotations

import json
import threading
import time
import typing

import urllib3

from briarseam.bench import arms

if typing.TYPE_CHECKING:
    from briarseam.bench import experiment

TIMEOUT_S = 2.0


def turn(address: str, switch: str, value: typing.Any) -> None:
    """Set one switch of a stand-in."""
    urllib3.request(
        "POST",
        f"http://{address}/control",
        body=json.dumps({switch: value}).encode(),
        timeout=TIMEOUT_S,
        retries=False,
    )


def parse_switch(text: str) -> typing.Any:
    """Return a switch's value from text."""
    match text.lower():
        case "true":
            return True
        case "false":
            return False
    return arms.parse_text(text)


class Schedule:
    """Fires the faults of one arm from a thread each."""

    def __init__(self, faults: typing.Iterable[experiment.Fault]) -> None:
        self.faults = tuple(faults)
        self.started = time.monotonic()

    def start(self) -> None:
        """Begin; times count from now."""
        self.started = time.monotonic()
        for fault in self.faults:
            threading.Thread(
                target=self.fire, args=(fault,), daemon=True
            ).start()

    def fire(self, fault: experiment.Fault) -> None:
        """Turn a switch, and back."""
        time.sleep(max(self.started + fault.at_s - time.monotonic(), 0.0))
        turn(fault.address, fault.switch, parse_switch(fault.value))
        time.sleep(fault.for_s)
        turn(fault.address, fault.switch, parse_switch(fault.normal))
