from __future__ import annotations

import collections
import dataclasses
import itertools
import json
import threading
import time
import typing

import pytest
from tests.matrix import processes

from briarseam.testing import answers
from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import waiting
from briarseam.testing import words

pytestmark = pytest.mark.timeout(180)

ORGANISATION = deployment.ORGANISATIONS[0]
TOKEN = deployment.token_of(ORGANISATION)
TOKENS = 600
PROMPT_CALLERS = 4
CALL_CALLERS = 2


@dataclasses.dataclass
class Tally:
    """What the callers met; every entry of ``faults`` is a broken promise."""

    answers: int = 0
    calls: int = 0
    keys: list[str] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    by_entry: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Routed:
    """A caller that asks where to connect and keeps that for its time."""

    def __init__(self, entries: list[str], session: str) -> None:
        self.entries = entries
        self.session = session
        self.addresses: list[str] = []
        self.until = 0.0

    def address(self) -> str:
        """Return the address to use now."""
        if time.monotonic() >= self.until:
            asked_at = time.monotonic()
            given = self.ask_where()
            self.addresses = given["addresses"]
            self.until = asked_at + given["ttl_s"]
        return self.addresses[0]

    def ask_where(self) -> dict[str, typing.Any]:
        """Ask the entries one after the other until one has addresses."""
        for entry in itertools.islice(itertools.cycle(self.entries), 200):
            response = caller.Caller(entry, TOKEN, 4.0).open(
                "GET", f"/v1/where?session={self.session}", None, {}
            )
            if response is not None and response.status == 200:
                given = json.loads(response.read())
                if given["addresses"]:
                    return given
            time.sleep(0.05)
        raise AssertionError("no entry tells where to go")


class Load:
    """Callers that go on until stopped."""

    def __init__(self, cluster: processes.Cluster) -> None:
        self.entries = [one.entry_address for one in cluster.machines]
        self.tally = Tally()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(number, work))
            for number, work in enumerate(
                [self.ask] * PROMPT_CALLERS + [self.call] * CALL_CALLERS
            )
        ]

    def __enter__(self) -> Load:
        for thread in self.threads:
            thread.start()
        waiting.until(lambda: self.tally.answers and self.tally.calls, 30)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, number: int, work: typing.Callable[[str, str], str]) -> None:
        """Work with a few sessions in turn until stopped."""
        sessions = [
            Routed(self.entries, f"s{number}-{each}") for each in range(5)
        ]
        for turn in itertools.count():
            if self.stopping.is_set():
                return
            address = sessions[turn % len(sessions)].address()
            fault = work(address, f"{number} {turn}")
            with self.lock:
                self.tally.by_entry[address] += 1
                if fault:
                    self.tally.faults.append(f"{address}: {fault}")

    def ask(self, address: str, text: str) -> str:
        """Ask for one streamed answer, never again."""
        prompt = words.prompt(300, text)
        body = deployment.prompt_body(prompt, max_tokens=TOKENS)
        answer = caller.Caller(address, TOKEN, 10.0).ask(body)
        with self.lock:
            self.tally.answers += 1
        expected = answers.expected_answer(
            deployment.MODEL, deployment.VERSION, prompt, TOKENS
        )
        if not answer.done or answer.tokens != expected:
            return f"answer {answer.status} {answer.problem} {answer.cut}"
        return ""

    def call(self, address: str, text: str) -> str:
        """Make one call that may not repeat, never again."""
        key = caller.new_key()
        result = caller.Caller(address, TOKEN, 10.0).call(
            deployment.SERVICE, deployment.CALL, {"key": key}, key
        )
        with self.lock:
            self.tally.calls += 1
            self.tally.keys.append(key)
        if result.status == 200:
            return ""
        return f"call {result.status} {result.body.get('detail')}"


class Patient(processes.Cluster):
    """A cluster that a slow machine alone does not upset."""

    def tree(self) -> dict[str, typing.Any]:
        """Return the configuration, with time enough for a call."""
        tree = super().tree()
        tree[f"services/{deployment.SERVICE}"]["timeout_ms"] = 10_000
        return tree

    def adjust(self, text: str) -> str:
        """Return an instance's settings."""
        return text.replace("stale_after_ms = 5s", "stale_after_ms = 60s")


@pytest.fixture(scope="module")
def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[processes.Cluster]:
    folder = tmp_path_factory.mktemp("rolling")
    with Patient(folder) as started:
        started.engines["engine-0"].set(token_s=0.004, slots=16)
        yield started


WHICH = {
    "instance": lambda machine: [machine.entry, machine.agent],
    "entry": lambda machine: [machine.entry],
    "agent": lambda machine: [machine.agent],
}


@pytest.mark.parametrize("which", WHICH)
def test_rolling_stop_cuts_nothing(
    cluster: processes.Cluster, which: str
) -> None:
    """An operator restarts one instance after the other while callers
    stream answers and submit renewals.  Each caller goes where lookups
    send it, asks once, and gets the whole answer; nothing runs twice.
    """
    with Load(cluster) as load:
        for machine in cluster.machines:
            daemons = WHICH[which](machine)
            for daemon in daemons:
                daemon.process.terminate()
            assert [daemon.process.wait(30) for daemon in daemons] == [
                0 for _ in daemons
            ]
            for daemon in reversed(daemons):
                daemon.start()
            served = load.tally.by_entry[machine.entry_address]
            waiting.until(
                lambda machine=machine, served=served: (
                    load.tally.by_entry[machine.entry_address] > served
                ),
                30,
                "callers come back to the restarted instance",
            )
    assert load.tally.faults == [], "\n".join(load.tally.faults)
    assert [key for key in load.tally.keys if cluster.runs(key) != 1] == []
