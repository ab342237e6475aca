"""A randomized run of ``briarseam serve`` under faults, from a seed.

Instances are processes; endpoints and the store are stand-ins behind
proxies.  What callers and endpoints saw is held against what is promised,
while it runs and afterwards.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import json
import pathlib
import sys
import tempfile
import threading
import time

from tests.soak import callers
from tests.soak import faults
from tests.soak import promises
from tests.soak import serving

from briarseam.testing import waiting

CALLERS = 8
INSTANCES = 4
# All serve again so soon after the last fault.
RECOVERY_S = 15.0
START_S = 20.0
PROBE_S = 0.25
OK = 200


@dataclasses.dataclass
class Report:
    """What a run found.

    Attributes
    ----------
    seed, seconds, instances
        The run.
    requests, runs
        How many requests were sent, and how often endpoints ran one.
    answers
        Requests by kind and status, 0 for none.
    faults
        How often each struck.
    broken
        Broken promises.
    """

    seed: int
    seconds: float
    instances: int
    requests: int = 0
    runs: int = 0
    answers: dict[str, int] = dataclasses.field(default_factory=dict)
    faults: dict[str, int] = dataclasses.field(default_factory=dict)
    broken: list[str] = dataclasses.field(default_factory=list)


class Soak:
    """One run.

    Parameters
    ----------
    folder
        Settings and output of the processes go there.
    report
        What to run, and what was found.
    """

    def __init__(self, folder: pathlib.Path, report: Report) -> None:
        self.report = report
        self.deployment = serving.Deployment(folder, report.instances)
        self.stopping = threading.Event()
        self.callers = [
            callers.Caller(number, report.seed, self.deployment, self.stopping)
            for number in range(CALLERS)
        ]
        self.prober = callers.Caller(
            CALLERS, report.seed, self.deployment, self.stopping
        )
        self.broken: list[str] = []

    def run(self) -> None:
        """Start, let faults strike while callers call, and check."""
        try:
            self.deployment.start()
            self.expect_service("after the start", START_S)
            self.strike()
            self.expect_service("after the last fault", RECOVERY_S)
            self.finish()
        finally:
            self.deployment.close()

    def strike(self) -> None:
        """Let faults strike while callers call."""
        planned = faults.plan(
            self.report.seed, self.report.seconds, self.report.instances
        )
        kinds = collections.Counter(
            type(one.fault).__name__ for one in planned
        )
        self.report.faults = dict(sorted(kinds.items()))
        probing = threading.Thread(target=self.probe, daemon=True)
        for thread in (probing, *(one.thread for one in self.callers)):
            thread.start()
        faults.Injector(self.deployment, planned).run()
        self.stopping.set()
        for thread in (probing, *(one.thread for one in self.callers)):
            thread.join()

    def probe(self) -> None:
        """Ask each instance for the route that comes and goes."""
        kind = callers.KINDS[-1]
        while not self.stopping.wait(PROBE_S):
            for instance in self.deployment.instances:
                sent = self.prober.send(kind, instance)
                if sent.status:
                    self.broken.extend(
                        promises.check_configuration(self.deployment, sent)
                    )
            self.note_ends()

    def note_ends(self) -> None:
        """Note processes that ended by themselves, and start them again."""
        for instance in self.deployment.instances:
            if instance.ended_by_itself():
                self.broken.append(f"{instance.name} ended by itself")
                instance.start()

    def expect_service(self, when: str, within_s: float) -> None:
        """Expect that all instances serve all kinds in time."""
        try:
            waiting.until(self.all_serve, within_s, "all serve")
        except AssertionError:
            self.broken.append(f"not all served {within_s} s {when}")

    def all_serve(self) -> bool:
        """Tell whether all instances answer each kind of request."""
        kinds = callers.KINDS[:4]
        return all(
            self.prober.send(kind, instance).status == OK
            for instance in self.deployment.instances
            for kind in kinds
        )

    def finish(self) -> None:
        """Check all that was seen, once nothing is under way."""
        time.sleep(PROBE_S)
        sent = [
            one for who in (*self.callers, self.prober) for one in who.sent
        ]
        self.broken += promises.check(self.deployment, sent)
        self.broken += self.deployment.errors()
        answers = collections.Counter(
            f"{one.kind.name} {one.status}" for one in sent
        )
        self.report.answers = dict(sorted(answers.items()))
        self.report.requests = len(sent)
        self.report.runs = sum(map(len, self.deployment.ran().values()))
        self.report.broken = self.broken


def run(
    seed: int, seconds: float, instances: int, folder: pathlib.Path
) -> Report:
    """Run one seed and return what was found."""
    report = Report(seed, seconds, instances)
    Soak(folder, report).run()
    return report


def main() -> int:
    """Run seeds one after the other; 1 when a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--instances", type=int, default=INSTANCES)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs")
    options = parser.parse_args()
    first = options.seed or time.time_ns() % 1_000_000
    broken = 0
    for seed in range(first, first + options.seeds):
        folder = options.keep or pathlib.Path(tempfile.mkdtemp())
        folder = folder / str(seed)
        folder.mkdir(parents=True)
        report = run(seed, options.seconds, options.instances, folder)
        print(json.dumps(dataclasses.asdict(report)), flush=True)
        broken += bool(report.broken)
    return min(broken, 1)


if __name__ == "__main__":
    sys.exit(main())
