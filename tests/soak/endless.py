"""Endpoints that send without end: what is planned, and what is checked."""

from __future__ import annotations

import pathlib
import random
import threading
import typing

from tests import flooding
from tests.soak import faults
from tests.soak import plans
from tests.soak import processes
from tests.soak import serving

# Growth of an instance's memory since it serves, whatever endpoints send.
MAX_GROWTH_BYTES = 48_000_000
SAMPLE_S = 0.05
# An instance that has started has grown to its usual size by then.
SETTLED_S = 2.0
# The end of an answer without framing is that of its connection, which other
# faults may bring about.
UNFRAMED = frozenset({"body", "body-of-a-failure"})
PLAIN = sorted(flooding.HEADS | flooding.BODIES | flooding.REFUSALS)
STREAMS = sorted(flooding.HEADS | flooding.STREAMS | flooding.REFUSALS)
# Requests that another endpoint can answer.
REPEATABLE = frozenset({"status", "draft"})
MIN_SHARE = 0.9
OK = 200


def plan(seed: int, seconds: float, instances: int) -> list[faults.Planned]:
    """Return floods in series; two of three seeds have other faults too."""
    random_ = random.Random(f"{seed}/floods")
    found = plans.plan(seed, seconds, instances) if has_others(seed) else []
    plain = [
        name for name in PLAIN if name not in UNFRAMED or not has_others(seed)
    ]
    at_s = 0.5
    while at_s < seconds - 1.0:
        number = random_.randrange(len(serving.SERVICES))
        is_engine = serving.SERVICES[number] == "engines"
        flood = faults.AnswersWithoutEnd(
            number,
            random_.choice(STREAMS if is_engine else plain),
            random_.choice([pace.value for pace in flooding.Pace]),
            random_.randint(1, 6),
        )
        found.append(faults.Planned(at_s, random_.uniform(0.3, 1.5), flood))
        at_s += random_.uniform(0.1, 0.8)
    return sorted(found, key=lambda one: one.at_s)


def has_others(seed: int) -> bool:
    """Return whether a run has other faults, too."""
    return bool(seed % 3)


class MemoryWatch:
    """Watches the memory of all instances.

    Parameters
    ----------
    instances
        The instances.

    Attributes
    ----------
    growth
        The most by which any process has grown, in bytes.
    """

    def __init__(self, instances: list[processes.Instance]) -> None:
        self.instances = instances
        self.first: dict[int, int] = {}
        self.growth = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Watch until stopped."""
        while not self.stopping.wait(SAMPLE_S):
            for instance in self.instances:
                self.sample(instance)

    def sample(self, instance: processes.Instance) -> None:
        """Compare the memory of an instance's process with its first."""
        if instance.process is None or instance.age_s() < SETTLED_S:
            return
        pid = instance.process.pid
        size = resident_bytes(pid)
        if size is not None:
            self.growth = max(
                self.growth, size - self.first.setdefault(pid, size)
            )


def resident_bytes(pid: int) -> int | None:
    """Return the resident memory of a process; `None` if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/statm").read_text()
        return int(text.split()[1]) * 4096
    except (OSError, IndexError):
        return None


def check(
    deployment: serving.Deployment,
    sent: typing.Iterable[typing.Any],
    growth: int,
    seed: int,
) -> typing.Iterator[str]:
    """Yield each broken promise, one sentence each."""
    if growth > MAX_GROWTH_BYTES:
        yield f"an instance grew by {growth / 1e6:.0f} MB"
    going_on = sum(worker.flooding for worker in deployment.past)
    if going_on:
        yield f"{going_on} answers without end are still read"
    if has_others(seed):
        return
    repeatable = [one for one in sent if one.kind.name in REPEATABLE]
    served = sum(one.status == OK and one.whole for one in repeatable)
    if served < MIN_SHARE * len(repeatable):
        yield (
            f"{served} of {len(repeatable)} requests that may be repeated "
            "were served"
        )
