"""Open-loop load: requests go out at their times, whatever comes back."""

from __future__ import annotations

from concurrent import futures
import dataclasses
import threading
import time
import typing

from briarseam.bench import workload as workloads
from briarseam.testing import caller

if typing.TYPE_CHECKING:
    from briarseam.bench import experiment
    from briarseam.bench import measures

DRAIN_S = 30.0
PRIMERS = 16
# Engines write to the stores in the background after their runs.
SETTLE_S = 5.0
WHERE_PATH = "/v1/where"
MAX_RESEND_WAIT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Target:
    """The deployment under load.

    Attributes
    ----------
    entries
        Addresses of all its entries.
    token_of
        Bearer token of an organisation.
    """

    entries: tuple[str, ...]
    token_of: typing.Callable[[str], str]


class Load:
    """The callers of one arm.

    Parameters
    ----------
    target
        The deployment.
    workload
        What callers ask.
    arm
        Name of the arm.
    recorder
        Takes in the answers.
    """

    def __init__(
        self,
        target: Target,
        workload: experiment.Workload,
        arm: str,
        recorder: measures.Recorder,
    ) -> None:
        self.target = target
        self.workload = workload
        self.recorder = recorder
        generator = workloads.Generator(workload, arm)
        self.requests = generator.requests()
        self.primed = generator.primed
        self.prompts: list[str] = []
        self.addresses: dict[str, str] = {}
        self.late_s = 0.0
        self.under_way = 0
        self.condition = threading.Condition()

    def prepare(self) -> None:
        """Prime, and make the prompts, before any clock starts.

        Making a prompt takes longer than sending it, and an open loop must
        not be slowed by it.
        """
        self.prime()
        self.prompts = [workloads.prompt_of(one) for one in self.requests]

    def run(self) -> None:
        """Send all requests and wait for the last answers."""
        started = time.monotonic()
        self.recorder.begin(started)
        for request, prompt in zip(self.requests, self.prompts, strict=True):
            wait_s = started + request.at_s - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            else:
                self.late_s = max(self.late_s, -wait_s)
            with self.condition:
                self.under_way += 1
            threading.Thread(
                target=self.send, args=(request, prompt), daemon=True
            ).start()
        self.drain()

    def prime(self) -> None:
        """Send every session once, a few at a time, and let it settle."""
        if not self.primed:
            return
        with futures.ThreadPoolExecutor(PRIMERS) as pool:
            for request in self.primed:
                prompt = workloads.prompt_of(request)
                pool.submit(self.ask, request, prompt)
        time.sleep(SETTLE_S)

    def drain(self) -> None:
        """Wait for the answers that are still under way."""
        until = time.monotonic() + DRAIN_S
        with self.condition:
            while self.under_way and time.monotonic() < until:
                self.condition.wait(0.5)

    def send(self, request: workloads.Request, prompt: str) -> None:
        """Send one request and take in its answer."""
        try:
            began = time.monotonic()
            waited_s = 0.0
            answer = self.ask(request, prompt)
            for _ in range(self.workload.resends):
                wait_s = return_wait_s(answer)
                if wait_s is None:
                    break
                time.sleep(wait_s)
                waited_s = time.monotonic() - began
                answer = self.ask(request, prompt)
            self.recorder.take(request, answer, waited_s)
        finally:
            with self.condition:
                self.under_way -= 1
                self.condition.notify_all()

    def ask(self, request: workloads.Request, prompt: str) -> caller.Answer:
        """Send a request to its session's entry."""
        self.recorder.note_try()
        token = self.target.token_of(request.organisation)
        address = self.address_of(request, token)
        body = {
            "model": self.workload.model,
            "prompt": prompt,
            "max_tokens": self.workload.max_tokens,
            "deadline_ms": self.workload.deadline_ms,
            "session": request.session,
        }
        return caller.Caller(address, token).ask(body)

    def address_of(self, request: workloads.Request, token: str) -> str:
        """Return the entry the system names for a session, kept since."""
        key = f"{request.organisation}\0{request.session}"
        if key not in self.addresses:
            self.addresses[key] = self.look_up(request, token)
        return self.addresses[key]

    def look_up(self, request: workloads.Request, token: str) -> str:
        """Ask an entry which one to use; any will do if it is away."""
        number = request.tokens % len(self.target.entries)
        asked = self.target.entries[number]
        response = caller.Caller(asked, token).open(
            "GET", f"{WHERE_PATH}?session={request.session}", None, {}
        )
        if response is None:
            return asked
        addresses = response.json().get("addresses") or [asked]
        return str(addresses[0])


def return_wait_s(answer: caller.Answer) -> float | None:
    """Return when a refused caller may come back; ``None`` if never."""
    retry_after = answer.headers.get("Retry-After")
    if answer.done or retry_after is None:
        return None
    exact = answer.problem.get("retry_after_s", float(retry_after))
    return min(float(exact), MAX_RESEND_WAIT_S)
