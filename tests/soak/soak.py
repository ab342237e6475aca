"""A randomized run of keys, callers, resends and faults, from a seed.

Agents and entries are processes; the plain service counts how often each
key's call took effect.  Afterwards every key is checked: at most one run,
and none where the caller was only ever told "not run".
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import json
import pathlib
import random
import sys
import tempfile
import threading
import time
import typing

from tests.matrix import processes
from tests.matrix import proxy

from briarseam.testing import caller

CALLERS = 16
INSTANCES = 3
PATIENCE_S = 1.0
MAX_TRIES = 12
PAUSE_S = 0.05
HOLD_S = (0.1, 2.5)
QUIET_S = (0.02, 0.4)
OK = 200
# Any other "unknown" says when to send the same key again.
FINAL = ("outcome-unknown", "endpoint-lost", "key-expired")
LINK_STEPS = {
    "from_entry": ((b"admit-call",), (b"granted",), (b"run-ended",)),
    "from_peers": ((b"\xa5claim",), (b"claim-won",), (b"claim-settle",)),
    "to_log": ((b"POST /streams/claims",), (b'"offset"',), (b"records",)),
    "to_service": ((b"POST /calls/",), (b"confirmation",)),
}
ANSWERS = (b"granted", b"claim-won", b'"offset"', b"records", b"confirmation")


@dataclasses.dataclass
class Key:
    """One key and what its callers were told.

    Attributes
    ----------
    text
        The key.
    told
        ran, no, unknown or cut, or the reason to come back, in order.
    bodies
        Different answers of the call itself.
    why
        Reason and detail of each "unknown".
    """

    text: str
    told: list[str] = dataclasses.field(default_factory=list)
    bodies: set[str] = dataclasses.field(default_factory=set)
    why: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Report:
    """What a run found."""

    seed: int
    seconds: float
    instances: int
    callers: int
    keys: int
    answers: dict[str, int]
    faults: dict[str, int]
    runs: int
    doubles: int
    wrong_not_run: int
    wrong_ran: int
    differing_replays: int
    keys_told_only_not_run: int
    keys_ending_unknown: int
    unknown_that_ran: int
    unknown_why: dict[str, int]

    def is_clean(self) -> bool:
        """Tell whether every promise held."""
        return not (
            self.doubles
            or self.wrong_not_run
            or self.wrong_ran
            or self.differing_replays
        )


class Soak:
    """One run.

    Parameters
    ----------
    cluster
        Started.
    seed
        Of the callers' and the faults' choices.
    """

    def __init__(self, cluster: processes.Cluster, seed: int) -> None:
        self.cluster = cluster
        self.seed = seed
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.keys: list[Key] = []
        self.faults: collections.Counter[str] = collections.Counter()

    def run(self, seconds: float) -> Report:
        """Run for some seconds, heal, and check."""
        started = time.monotonic()
        threads = [
            threading.Thread(target=self.call, args=(number,))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        # Two at once: a process and something else.
        threads.extend(
            threading.Thread(target=self.strike_on, args=(kinds,))
            for kinds in (("kill", "freeze"), ("link", "log", "service"))
        )
        threads[-2].start()
        threads[-1].start()
        self.stopping.wait(seconds)
        self.stopping.set()
        for thread in threads:
            thread.join()
        self.cluster.heal()
        return self.report(time.monotonic() - started)

    # The callers.

    def call(self, number: int) -> None:
        """Submit one key after the other, with resends."""
        choose = random.Random(f"{self.seed}/{number}")
        while not self.stopping.is_set():
            key = Key(caller.new_key())
            with self.lock:
                self.keys.append(key)
            self.submit(key, choose)

    def submit(self, key: Key, choose: random.Random) -> None:
        """Send a key until the caller is content or gives up."""
        for _ in range(MAX_TRIES):
            instance = choose.randrange(len(self.cluster.machines))
            result = self.cluster.submit(instance, key.text, PATIENCE_S)
            note(key, result)
            content = key.told[-1] in ("ran", "unknown")
            if content and choose.random() < 0.7:
                return
            if key.told[-1] == "no" and choose.random() < 0.2:
                return
            time.sleep(PAUSE_S)

    # The faults.

    def strike_on(self, kinds: tuple[str, ...]) -> None:
        """Fire one fault of some kinds after the other."""
        choose = random.Random(f"{self.seed}/{kinds}")
        while not self.stopping.wait(choose.uniform(*QUIET_S)):
            self.strike(choose.choice(kinds), choose)

    def strike(self, kind: str, choose: random.Random) -> None:
        """Fire one fault."""
        match kind:
            case "kill" | "freeze":
                self.strike_process(kind, choose)
            case "link":
                self.strike_link(choose)
            case "log":
                self.strike_log(choose)
            case "service":
                self.strike_service(choose)

    def strike_process(self, kind: str, choose: random.Random) -> None:
        """Kill or freeze a process for a while."""
        machine = choose.choice(self.cluster.machines)
        daemon = choose.choice(machine.daemons())
        self.faults[f"{kind} {daemon.command}"] += 1
        if kind == "kill":
            daemon.kill()
        else:
            daemon.freeze()
        time.sleep(choose.uniform(*HOLD_S))
        daemon.revive()

    def strike_link(self, choose: random.Random) -> None:
        """Arm a proxy with a fault at one of the next messages."""
        name = choose.choice(sorted(LINK_STEPS))
        markers = choose.choice(LINK_STEPS[name])
        fault = choose.choice(
            (proxy.Fault.CUT, proxy.Fault.ANSWER_LOST, proxy.Fault.SLOW)
        )
        if markers[0].startswith(b"POST /streams"):
            fault = choose.choice((fault, proxy.Fault.DOUBLED))
        link = (
            self.cluster.to_service
            if name == "to_service"
            else getattr(choose.choice(self.cluster.machines), name)
        )
        step = proxy.Step(name, markers, markers[0] in ANSWERS)
        plan = proxy.Plan(
            step, fault, choose.randint(1, 5), choose.uniform(*HOLD_S)
        )
        link.arm(plan)
        if plan.fired.wait(1.0):
            self.faults[f"{fault.value}: {name} {markers[0]!r}"] += 1
        link.arm(None)

    def strike_log(self, choose: random.Random) -> None:
        """Take the log away, slow it down, or lose its answers."""
        match choose.choice(("outage", "slow", "answers lost")):
            case "outage":
                self.faults["log outage"] += 1
                self.cluster.log.set(outage=True)
            case "slow":
                self.faults["log slow"] += 1
                self.cluster.log.set(delay_ms=choose.randint(50, 900))
            case _:
                lost = choose.randint(1, 10)
                self.faults["log answers lost"] += lost
                self.cluster.log.set(lose_answers=lost)
        time.sleep(choose.uniform(*HOLD_S))
        self.cluster.log.set(outage=False, delay_ms=0, lose_answers=0)

    def strike_service(self, choose: random.Random) -> None:
        """Cut the service's next connections before or after effect."""
        switch = choose.choice(("close_before", "close_after", "status"))
        self.faults[f"service {switch}"] += 1
        plain = self.cluster.services["service-0"]
        plain.set(**{switch: 503 if switch == "status" else 2})
        time.sleep(0.2)
        plain.set(**{switch: 0})

    # The check.

    def report(self, seconds: float) -> Report:
        """Check every key and sum up."""
        answers: collections.Counter[str] = collections.Counter()
        why: collections.Counter[str] = collections.Counter()
        for key in self.keys:
            answers.update(key.told)
            why.update(key.why)
        runs = {key.text: self.cluster.runs(key.text) for key in self.keys}
        only_no = [key for key in self.keys if set(key.told) == {"no"}]
        ran = [key for key in self.keys if "ran" in key.told]
        unknown = [
            key for key in self.keys if key.told and key.told[-1] == "unknown"
        ]
        return Report(
            seed=self.seed,
            seconds=round(seconds, 1),
            instances=len(self.cluster.machines),
            callers=CALLERS,
            keys=len(self.keys),
            answers=dict(answers),
            faults=dict(sorted(self.faults.items())),
            runs=sum(runs.values()),
            doubles=sum(count > 1 for count in runs.values()),
            wrong_not_run=sum(runs[key.text] > 0 for key in only_no),
            wrong_ran=sum(runs[key.text] != 1 for key in ran),
            differing_replays=sum(len(key.bodies) > 1 for key in self.keys),
            keys_told_only_not_run=len(only_no),
            keys_ending_unknown=len(unknown),
            unknown_that_ran=sum(runs[key.text] for key in unknown),
            unknown_why=dict(why.most_common()),
        )


def note(key: Key, result: caller.CallResult) -> None:
    """Keep what a caller was told."""
    if result.status == OK:
        key.told.append("ran")
        key.bodies.add(json.dumps(result.body, sort_keys=True))
        return
    word = str(result.body.get("ran", "cut"))
    if word == "unknown" and result.body["reason"] not in FINAL:
        word = result.body["reason"]
    key.told.append(word)
    if word == "unknown":
        reason, detail = result.body["reason"], result.body["detail"]
        key.why.append(f"{reason}: {detail}")


def soak(folder: pathlib.Path, seed: int, seconds: float) -> Report:
    """Start a cluster and run."""
    with processes.Cluster(folder, INSTANCES) as cluster:
        return Soak(cluster, seed).run(seconds)


def main(arguments: typing.Sequence[str]) -> int:
    """Run from the command line; 1 when a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--out", type=pathlib.Path)
    given = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        report = soak(pathlib.Path(folder), given.seed, given.seconds)
    text = json.dumps(dataclasses.asdict(report), indent=1)
    print(text)
    if given.out:
        given.out.write_text(text + "\n")
    return 0 if report.is_clean() else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
