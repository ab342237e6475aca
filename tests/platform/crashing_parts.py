"""Engines that one part of a prompt crashes, and load of several callers."""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import threading
import time

import urllib3

from briarseam.testing import http_messages
from briarseam.testing import ports
from tests.platform import crashing_load
from tests.platform import system as systems
from tests.platform import worker as workers

SERVICE = "engines"
CRASHING = "cc:300"
FIRST = "aa:600"
SUBJECTS = 6
# An engine that crashed is back after this time, when its entry goes as well.
DOWN_S = 3.0
# Time in which the instances learn of crashes.
SETTLE_S = 3.0
CRASHES = 5
EVENT_PAUSE_MS = 20
OK = 200


class Crashing(workers.Worker):
    """Engine whose process ends when it begins to answer some prompts."""

    def __init__(self, id: str, listen: str) -> None:
        super().__init__(id, listen)
        self.set(pause_ms=EVENT_PAUSE_MS)
        self.ended_s: float | None = None
        self.end_lock = threading.Lock()

    def end(self) -> None:
        """End the process: nothing listens, and all connections break."""
        with self.end_lock:
            if self.ended_s is not None:
                return
            self.ended_s = time.monotonic()
            threading.Thread(target=self.stop, daemon=True).start()

    def stream(
        self, request: http_messages.Request, call: str
    ) -> collections.abc.Iterator[bytes]:
        """Yield events, or end before the first one."""
        if has_crashing_part(request):
            self.end()
            raise http_messages.Dropped
        yield from super().stream(request, call)

    def pause(self) -> None:
        """Wait between events; break the answer off if the process ends."""
        super().pause()
        if self.ended_s is not None:
            raise http_messages.Dropped

    def crashing_arrivals_s(self) -> list[float]:
        """Return when requests with the crashing part arrived."""
        arrived = zip(self.addressed, self.arrived_s, strict=False)
        return [at_s for one, at_s in arrived if has_crashing_part(one)]


def has_crashing_part(request: http_messages.Request) -> bool:
    """Return whether a prompt has the part that crashes engines."""
    parts = request.headers.get("prefix-hash", "").split(",")
    return CRASHING in parts[:-1]


class Fleet:
    """Engines that are back after a while under new names."""

    def __init__(
        self,
        system: systems.System,
        count: int,
        service: str = SERVICE,
        make: collections.abc.Callable[[str, str], Crashing] = Crashing,
    ) -> None:
        self.system = system
        self.service = service
        self.make = make
        self.numbers = itertools.count()
        self.closing = threading.Event()
        self.starts: list[Crashing] = []
        self.lock = threading.Lock()
        for port in ports.free_ports(count):
            self.start(f"127.0.0.1:{port}")

    def start(self, listen: str) -> Crashing:
        """Start an engine and write its entry."""
        worker = self.make(f"{self.service}-{next(self.numbers)}", listen)
        self.system.add(worker, self.service)
        with self.lock:
            self.starts.append(worker)
        threading.Thread(
            target=self.replace, args=(worker,), daemon=True
        ).start()
        return worker

    def replace(self, worker: Crashing) -> None:
        """Start another engine some time after one has ended."""
        while worker.ended_s is None:
            if self.closing.wait(0.02):
                return
        if self.closing.wait(DOWN_S):
            return
        self.system.store.write("keyed.servers", worker.id, None)
        self.start(worker.address)

    def end_all(self) -> None:
        """End all engines at the same moment, by no request."""
        for worker in self.running():
            worker.end()

    def running(self) -> list[Crashing]:
        """Return the engines that run."""
        with self.lock:
            return [one for one in self.starts if one.ended_s is None]

    def ended_s(self) -> list[float]:
        """Return when engines ended, in order."""
        with self.lock:
            return sorted(one.ended_s for one in self.starts if one.ended_s)

    def arrivals_after(self, at_s: float) -> int:
        """Return how often the crashing part arrived since."""
        with self.lock:
            starts = list(self.starts)
        return sum(
            arrived_s > at_s
            for one in starts
            for arrived_s in one.crashing_arrivals_s()
        )


@dataclasses.dataclass
class Sent:
    """A request and the status of its answer, 0 if it was broken off."""

    sent_s: float
    parts: tuple[str, ...]
    status: int = 0


class Load(crashing_load.Load):
    """Sends prompts with crashing parts, and sound ones."""

    def send(self, parts: tuple[str, ...]) -> Sent:
        """Send a prompt with these shared parts and one of its own."""
        number = next(self.numbers)
        sent = Sent(time.monotonic(), parts)
        self.sent.append(sent)
        prompt = ",".join((*parts, f"f{number:x}:100"))
        headers = {
            "Model": systems.MODEL,
            "Token-Usage": "1400,50",
            "Prefix-Hash": prompt,
            "Deadline-Ms": "3000",
        }
        address = self.random.choice(self.addresses)
        try:
            answer = self.http.request(
                "POST",
                f"http://{address}/draft/x",
                body=str(number).encode(),
                headers=systems.callers_headers(systems.KEY, headers),
            )
            sent.status = answer.status
        except urllib3.exceptions.HTTPError:
            sent.status = 0
        return sent

    def subject(self) -> str:
        """Return a part that some sound prompts share."""
        return f"b{self.random.randrange(SUBJECTS)}:400"

    def run(
        self, seconds: float, sound_per_s: float, crash_every_s: float = 0.0
    ) -> None:
        """Send sound prompts, and crashing ones if a pause is given."""
        ends_s = time.monotonic() + seconds
        next_crash_s = time.monotonic()
        while time.monotonic() < ends_s:
            self.send_later((FIRST, self.subject()))
            if crash_every_s and time.monotonic() >= next_crash_s:
                next_crash_s += crash_every_s
                self.send_later((FIRST, self.subject(), CRASHING))
            time.sleep(1 / sound_per_s)

    def share_served(self, from_s: float) -> float:
        """Return which share of the sound prompts since was answered."""
        sound = [
            one
            for one in self.sent
            if one.sent_s > from_s and CRASHING not in one.parts
        ]
        return sum(one.status == OK for one in sound) / len(sound)
