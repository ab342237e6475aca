"""Endpoints that one repeated request crashes, and load of several callers."""

from __future__ import annotations

import dataclasses
import time

import urllib3

from briarseam.testing import http_messages
from tests.platform import crashing_load
from tests.platform import crashing_parts
from tests.platform import system as systems
from tests.platform import worker as workers

SERVICE = "portal"
CRASHING = "/status/crash"
# A sound request whose callers leave as those of the crashing one do.
LEAVING = "/status/left"
SOUND_PATHS = 40
# The request is refused from the third crash on, once instances have heard.
CRASHES = 3
SETTLE_S = 3.0
WORK_MS = 10
OK = 200


class Crashing(crashing_parts.Crashing):
    """Endpoint whose process ends some time after it began one request."""

    def __init__(self, id: str, listen: str) -> None:
        super().__init__(id, listen)
        self.set(work_ms=WORK_MS)
        self.crash_after_s = 0.0

    def run(
        self,
        request: http_messages.Request,
        call: str,
        echo: workers.Headers,
    ) -> http_messages.Response:
        """Crash if the request is the one, else answer it."""
        if not is_crashing(request):
            return super().run(request, call, echo)
        self.ran.append(call)
        self.stopping.wait(self.crash_after_s)
        self.end()
        raise http_messages.Dropped

    def crashing_arrivals_s(self) -> list[float]:
        """Return when the request that crashes endpoints arrived."""
        arrived = zip(self.addressed, self.arrived_s, strict=False)
        return [at_s for one, at_s in arrived if is_crashing(one)]


def is_crashing(request: http_messages.Request) -> bool:
    """Return whether a request is the one that crashes endpoints."""
    return CRASHING.endswith(request.path[-1])


@dataclasses.dataclass
class Sent:
    """A request and the status of its answer, 0 if there was none."""

    sent_s: float
    path: str
    status: int = 0


class Load(crashing_load.Load):
    """Sends the crashing request, and sound ones.

    Parameters
    ----------
    nodes
        The instances.
    leave_after_s
        When callers of the crashing request leave; ``None`` if they stay.
    """

    def __init__(
        self, nodes: list, leave_after_s: float | None = None
    ) -> None:
        super().__init__(nodes)
        self.leave_after_s = leave_after_s

    def send(self, path: str) -> Sent:
        """Send a request, and record the status of its answer."""
        sent = Sent(time.monotonic(), path)
        self.sent.append(sent)
        leaves = path in (CRASHING, LEAVING)
        address = self.random.choice(self.addresses)
        try:
            answer = self.http.request(
                "GET",
                f"http://{address}{path}",
                headers=systems.callers_headers(systems.KEY, {}),
                timeout=(leaves and self.leave_after_s)
                or crashing_load.TIMEOUT_S,
            )
            sent.status = answer.status
        except urllib3.exceptions.HTTPError:
            sent.status = 0
        return sent

    def sound_path(self) -> str:
        """Return the path of a request that crashes nothing."""
        return f"/status/{self.random.randrange(SOUND_PATHS)}"

    def run(
        self, seconds: float, sound_per_s: float, crash_every_s: float = 0.0
    ) -> None:
        """Send sound requests, and the crashing one if a pause is given."""
        ends_s = time.monotonic() + seconds
        next_crash_s = time.monotonic()
        while time.monotonic() < ends_s:
            self.send_later(self.sound_path())
            if crash_every_s and time.monotonic() >= next_crash_s:
                next_crash_s += crash_every_s
                self.send_later(CRASHING)
            time.sleep(1 / sound_per_s)

    def share_served(self, from_s: float) -> float:
        """Return which share of the sound requests since was answered."""
        sound = [
            one
            for one in self.sent
            if one.sent_s > from_s and one.path != CRASHING
        ]
        return sum(one.status == OK for one in sound) / len(sound)
