"""What follows when the platform's store returns from an older copy.

Instances run as processes before the stand-in of the store.  A configuration
is written that the copy lacks, the store returns, one instance starts anew,
and some seconds later operators and endpoints write again.
"""

from __future__ import annotations

import argparse
import dataclasses
import datetime
import json
import pathlib
import signal
import statistics
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

import measuring
from tests.platform import metadata_store
from tests.soak import serving

from briarseam.platform import names
from briarseam.testing import waiting

START_S = 180.0
PATIENCE_S = 60.0
SETTLE_S = 8.0
# From the return to what operators write next.
OPERATORS_S = 10.0
LOOK_S = 0.2


@dataclasses.dataclass(frozen=True)
class Result:
    """What one return led to.

    Attributes
    ----------
    instances
        How many ran.
    newcomer_s
        Until the instance that started just after the return had the
        configuration that the copy lacks, from its start.
    followed_s
        Until all instances had the next configuration, from its writing.
    calls_before, calls_after
        Calls to the store a second, settled, and in the ten seconds after
        the return.
    most_calls
        In one of these seconds.
    """

    instances: int
    newcomer_s: float
    followed_s: float
    calls_before: float
    calls_after: float
    most_calls: int


def in_force_at(instance: serving.Instance, version: int) -> float | None:
    """Return when an instance took a version, as its log tells."""
    for line in instance.output.read_text().splitlines():
        if "configuration_in_force" not in line:
            continue
        told = json.loads(line)
        if told["version"] >= version:
            stamp = datetime.datetime.fromisoformat(told["timestamp"])
            return stamp.timestamp()
    return None


def await_version(
    instances: list[serving.Instance], version: int, patience_s: float
) -> float:
    """Wait until all have a version; return when the last one took it."""
    taken: dict[str, float] = {}
    end_s = time.monotonic() + patience_s
    while len(taken) < len(instances):
        if time.monotonic() > end_s:
            raise TimeoutError(f"{len(taken)} have version {version}")
        time.sleep(LOOK_S)
        for instance in instances:
            if instance.name not in taken:
                at_s = in_force_at(instance, version)
                taken |= {} if at_s is None else {instance.name: at_s}
    return max(taken.values())


def calls_each_second(
    store: metadata_store.MetadataStore, seconds: float
) -> list[int]:
    """Return the calls to the store in each of the next seconds."""
    found = []
    before = store.calls.total()
    for _second in range(round(seconds)):
        time.sleep(1.0)
        now = store.calls.total()
        found.append(now - before)
        before = now
    return found


def start_all(deployment: serving.Deployment) -> None:
    """Start all instances and wait until they are settled."""
    deployment.start()
    await_version(deployment.instances, deployment.version, START_S)
    registered = len(deployment.instances) + 1
    waiting.until(
        lambda: (
            len(deployment.store.newest_of(names.MEMBERS_TOPIC)) == registered
        ),
        START_S,
    )
    time.sleep(SETTLE_S)


def play(deployment: serving.Deployment) -> Result:
    """Start all, let the store return, and take the times."""
    store = deployment.store
    start_all(deployment)
    before = calls_each_second(store, SETTLE_S)
    copy = store.copy()
    deployment.configure(False)
    lost = deployment.version
    await_version(deployment.instances, lost, PATIENCE_S)
    newcomer = deployment.instances[-1]
    newcomer.end(signal.SIGKILL)
    newcomer.output.unlink()

    store.restore(copy)
    newcomer.start()
    started_at = time.time()
    after = calls_each_second(store, OPERATORS_S)
    caught_up_at = await_version([newcomer], lost, PATIENCE_S)

    deployment.write_again()
    deployment.configure(True)
    written_at = time.time()
    followed_at = await_version(
        deployment.instances, deployment.version, PATIENCE_S
    )
    return Result(
        instances=len(deployment.instances),
        newcomer_s=round(caught_up_at - started_at, 1),
        followed_s=round(followed_at - written_at, 2),
        calls_before=round(statistics.mean(before), 1),
        calls_after=round(statistics.mean(after), 1),
        most_calls=max(after),
    )


def measure(count: int) -> Result:
    """Let the store return once before so many instances."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = serving.Deployment(pathlib.Path(folder), count)
        try:
            return play(deployment)
        finally:
            deployment.close()


def main() -> None:
    """Measure each size, print and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, action="append", default=[])
    results = []
    for count in parser.parse_args().instances or [7]:
        results.append(measure(count))
        print(results[-1], flush=True)
    measuring.write("store-restore", results)


if __name__ == "__main__":
    main()
