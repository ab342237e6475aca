"""A small deployment on loopback for the cases of the review.

Starts the project's own program with the command of `deploy/system.toml`,
one process an instance, and the project's stand-in of the platform's store.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

from tests.platform import metadata_store
import urllib3

ROOT = pathlib.Path(__file__).parents[1]
COMMAND = [
    "python3",
    "-m",
    "briarseam",
    "serve",
    "--settings-from",
    "BRIARSEAM_CONFIG",
]
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
READY_S = 30.0
STOP_S = 9.5
HOST = "kitchens.example"
# What the platform fills into `deploy/settings.ini` for a small deployment,
# the first site: 0.537 of a core that is twice as fast, 300 MB, 1 Gbit/s.
SETTINGS = """\
[instance]
name = {name}
zone = {zone}
region = dk-east
zone_regions = cph-hall-a:dk-east,cph-hall-b:dk-east,roskilde-hall:dk-east
first_start = true
[capacity]
processor_share = 0.537
processor_speed = 2
link_mbps = 1000.0
memory_mb = 300
[listen]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
lookups = 127.0.0.1:{lookups}
peers = 127.0.0.1:{peers}
metrics = 127.0.0.1:{metrics}
[store]
address = {store}
[bounds]
endpoint_drain_ms = 2000
endpoint_heartbeat_ms = 1200
shutdown_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
lease_ms = 3000
{fence}version_ms = 15000
lookup_ttl_max_s = 5
[logging]
level = info
[load]
tell_at_once = true
predict = true
"""
ZONES = ("cph-hall-a", "cph-hall-b", "roskilde-hall")


class CouldNotRunError(Exception):
    """The case could not be set up, so it says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt`.

    Parameters
    ----------
    folder
        Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.begun_s = time.monotonic()
        self.lock = threading.Lock()

    def note(self, event: str, **fields: object) -> None:
        """Write one line."""
        at_s = time.monotonic() - self.begun_s
        words = " ".join(f"{key}={value}" for key, value in fields.items())
        with self.lock:
            self.file.write(f"{at_s:8.3f} {event} {words}\n")
            self.file.flush()


class Instance:
    """One process of the system.

    Parameters
    ----------
    name, zone
        Its name and availability zone.
    store
        Address of the platform's store.
    folder
        Temporary folder for its settings and its log.
    checks_fence
        Whether engines refuse orders with an old fencing number.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
        checks_fence: bool,
    ) -> None:
        self.name = name
        # The port for relayed requests follows that for peers.
        callers, readiness, lookups, metrics, peers = free_ports(4)
        self.callers = callers
        self.readiness = readiness
        self.settings = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                callers=callers,
                readiness=readiness,
                lookups=lookups,
                metrics=metrics,
                peers=peers,
                store=store,
                fence="engines_check_fence = true\n" if checks_fence else "",
            )
        )

    def start(self) -> None:
        """Start the process as the deploy file says."""
        kept = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BRIARSEAM_CONFIG"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=env, stdout=output, stderr=output
            )

    def is_ready(self) -> bool:
        """Return whether its readiness check answers 200."""
        url = f"http://127.0.0.1:{self.readiness}/briarseam/readyz"
        try:
            answer = urllib3.request("GET", url, timeout=1.0, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def log_lines(self, event: str) -> list[dict[str, object]]:
        """Return its log lines of one event."""
        found = []
        for line in self.log.read_text("utf-8", "replace").splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if row.get("event") == event:
                    found.append(row)
        return found

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process: SIGTERM, and SIGKILL after its time."""
        process, self.process = self.process, None
        if process is None:
            return
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


class Deployment:
    """Store and instances of a case.

    Parameters
    ----------
    record
        Where events are written.
    store
        The stand-in of the platform's store; the project's own unless given.
    checks_fence
        Whether engines refuse orders with an old fencing number.
    """

    def __init__(
        self,
        record: Record,
        store: metadata_store.MetadataStore | None = None,
        checks_fence: bool = True,
    ) -> None:
        self.record = record
        self.stack = contextlib.ExitStack()
        self.store = store or metadata_store.MetadataStore()
        self.checks_fence = checks_fence
        self.instances: list[Instance] = []

    def __enter__(self) -> Deployment:
        """Start the store."""
        self.folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.stack.enter_context(self.store)
        return self

    def __exit__(self, *raised: object) -> None:
        """End all processes and stand-ins."""
        threads = [
            threading.Thread(target=instance.end)
            for instance in self.instances
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        self.stack.close()

    def configure(self, document: dict[str, object]) -> float:
        """Write a configuration; return when the store had it."""
        self.store.write("keyed.op", "config", document)
        self.record.note("configuration", version=document["version"])
        return time.monotonic()

    def start(self, count: int) -> None:
        """Start instances and wait until all are ready."""
        for index in range(count):
            instance = Instance(
                f"front-{index + 1}",
                ZONES[index % len(ZONES)],
                self.store.address,
                self.folder,
                self.checks_fence,
            )
            self.instances.append(instance)
            instance.start()
        wait_until(
            lambda: all(one.is_ready() for one in self.instances),
            READY_S,
            "the instances are ready",
        )
        self.record.note("ready", instances=count)


def engine_service(name: str, model: str) -> dict[str, object]:
    """Return a service of model workers, as the first site has it."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 620,
        "engine": {
            "slots": 128,
            "kvCapacityTokens": 213154,
            "kvTokenBytes": 18432,
            "linkMbps": 370000.0,
            "models": [{"name": model}],
        },
    }


def engine_entry(
    service: str, address: str, model: str, **fields: object
) -> dict[str, object]:
    """Return the entry of a model worker."""
    return {
        "service": service,
        "address": address,
        "zone": ZONES[0],
        "version": "v1",
        "slots": 128,
        "state": "ready",
        "coldRemainingMs": 0,
        "models": [{"name": model, "version": 1}],
        "seq": 0,
        **fields,
    }


def wait_until(condition, seconds: float, what: str) -> None:
    """Wait for a condition; the case could not run if it does not come."""
    end_s = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= end_s:
            raise CouldNotRunError(f"not within {seconds:g} s: {what}")
        time.sleep(0.05)


def free_ports(count: int) -> tuple[int, ...]:
    """Return free ports; the one after the last one is free as well."""
    while True:
        with contextlib.ExitStack() as stack:
            ports = [bound_port(stack) for _ in range(count + 1)]
            with contextlib.suppress(OSError, OverflowError):
                bound_port(stack, ports[-1] + 1)
                return tuple(ports)


def bound_port(stack: contextlib.ExitStack, port: int = 0) -> int:
    """Bind a port until the stack is closed; return its number."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", port))
    return int(listener.getsockname()[1])


def has_trouble() -> bool:
    """Return whether the case is to have its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case, folder: pathlib.Path) -> int:
    """Run a case; return the exit status of its script."""
    record = Record(folder)
    # The processes of the case end with it, also when it is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        broken = case(record)
    except Exception as error:
        # Whatever kept the case from its end says nothing of the rule.
        record.note("could-not-run", why=repr(error))
        traceback.print_exc()
        return COULD_NOT_RUN
    record.note("result", broken=broken)
    return BROKEN if broken else HELD
