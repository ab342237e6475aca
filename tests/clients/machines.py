"""An instance as a process of its own on a small machine, and its use."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import re
import resource
import subprocess
import sys
import threading

import urllib3

from briarseam.testing import caller
from briarseam.testing import ports
from briarseam.testing import waiting
from tests.matrix import processes
from tests.platform import metadata_store
from tests.platform import system
from tests.platform import worker as workers

SOURCE = pathlib.Path(__file__).parents[2] / "src"
PLACES = ("callers", "readiness", "lookups", "peers", "metrics", "relays")
READY = "/briarseam/readyz"
MEGABYTE = 1_000_000
SAMPLE_S = 0.05
# Of the descriptors of a machine so many are for files.
FILE_DESCRIPTORS = 200
START_S = 30.0
# Ordinary requests are repeated as long as this; each may take a third.
ANSWER_S = 60.0
PROCESS_FIELD = re.compile(r"^(VmRSS|VmHWM):\s+(\d+) kB", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of a machine.

    Attributes
    ----------
    memory_mb
        Memory of the process, what it received and has not read included.
    descriptors
        Descriptors of the process.
    """

    memory_mb: int = 100
    descriptors: int = 700


class Usage(threading.Thread):
    """Samples what a process uses.

    Attributes
    ----------
    most_bytes
        Most of resident memory and unread bytes together.
    most_descriptors
        Most descriptors.
    """

    def __init__(self, pid: int, listening: set[int]) -> None:
        super().__init__(daemon=True)
        self.pid = pid
        self.listening = listening
        self.most_bytes = 0
        self.most_unread = 0
        self.most_threads = 0
        self.most_descriptors = 0
        self.ended = threading.Event()

    def run(self) -> None:
        """Sample until told to end."""
        with contextlib.suppress(OSError):
            while not self.ended.wait(SAMPLE_S):
                self.sample()

    def sample(self) -> None:
        """Take one sample."""
        folder = pathlib.Path(f"/proc/{self.pid}")
        status = (folder / "status").read_text()
        unread = unread_bytes(self.listening)
        resident = int(dict(PROCESS_FIELD.findall(status))["VmRSS"]) * 1024
        descriptors = len(os.listdir(folder / "fd"))
        threads = len(os.listdir(folder / "task"))
        self.most_bytes = max(self.most_bytes, resident + unread)
        self.most_unread = max(self.most_unread, unread)
        self.most_threads = max(self.most_threads, threads)
        self.most_descriptors = max(self.most_descriptors, descriptors)

    def peak_resident(self) -> int:
        """Return the largest resident memory since the process began."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        return int(dict(PROCESS_FIELD.findall(status))["VmHWM"]) * 1024


def unread_bytes(listening: set[int]) -> int:
    """Return what waits in the queues of connections to some ports."""
    unread = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_listening = fields[3] == "0A"
        if not is_listening and int(fields[1][-4:], 16) in listening:
            unread += int(fields[4].partition(":")[2], 16)
    return unread


class Judged:
    """A process that a crowd visits.

    Attributes
    ----------
    limits
        Its limits.
    process
        The process.
    usage
        What it uses.
    """

    limits: Limits
    process: subprocess.Popen[bytes]
    usage: Usage

    def failure(self) -> str:
        """Send ordinary requests; return what failed, or nothing."""
        raise NotImplementedError

    def check(self) -> None:
        """Check life, service and use after a crowd."""
        failures = ["not asked"]

        def serves() -> bool:
            failures.append(self.failure())
            return not failures[-1] or self.process.poll() is not None

        with contextlib.suppress(TimeoutError, AssertionError):
            waiting.until(serves, ANSWER_S, "an ordinary answer")
        assert self.process.poll() is None, "the process has ended"
        limit_bytes = self.limits.memory_mb * MEGABYTE
        used = self.describe()
        assert not failures[-1], f"{failures[-1]}; {used}"
        assert self.usage.most_bytes <= limit_bytes, used
        assert self.usage.peak_resident() <= limit_bytes, used
        most = self.limits.descriptors - FILE_DESCRIPTORS
        assert self.usage.most_descriptors <= most, used

    def describe(self) -> str:
        """Return what the process has used at most."""
        usage = self.usage
        return (
            f"{usage.most_bytes / MEGABYTE:.0f} MB with "
            f"{usage.most_unread / MEGABYTE:.0f} unread, "
            f"{usage.peak_resident() / MEGABYTE:.0f} MB resident, "
            f"{usage.most_descriptors} descriptors, "
            f"{usage.most_threads} threads"
        )


class Machine(Judged):
    """An instance before stand-ins of the platform.

    Parameters
    ----------
    folder
        Settings and output go there.
    limits
        Limits of the process.
    """

    def __init__(
        self, folder: pathlib.Path, limits: Limits = Limits()
    ) -> None:
        self.folder = folder
        self.limits = limits
        self.stack = contextlib.ExitStack()
        free = ports.free_ports(len(PLACES))
        self.ports = dict(zip(PLACES, free, strict=True))
        self.http = urllib3.PoolManager(retries=False)
        self.store = self.stack.enter_context(metadata_store.MetadataStore())
        self.workers = [
            self.add_worker("portal-1", "portal"),
            self.add_worker("engine-1", "engines"),
        ]
        self.store.write("keyed.op", "config", system.configuration())
        self.process = self.start()
        self.usage = Usage(self.process.pid, set(self.ports.values()))

    def __enter__(self) -> Machine:
        """Wait until it serves."""
        waiting.until(lambda: not self.failure(), START_S, "it serves")
        self.usage.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End everything."""
        self.usage.ended.set()
        self.usage.join()
        self.process.kill()
        self.process.wait()
        self.stack.close()

    def add_worker(self, name: str, service: str) -> workers.Worker:
        """Start an endpoint and write its entry."""
        worker = self.stack.enter_context(workers.Worker(name))
        entry = {
            "service": service,
            "address": worker.address,
            "zone": "hall-a",
            "slots": 8,
            "state": "ready",
            **worker.start_fields(),
        }
        if service == "engines":
            entry["models"] = [{"name": system.MODEL, "version": 1}]
        self.store.write("keyed.servers", name, entry)
        return worker

    def start(self) -> subprocess.Popen[bytes]:
        """Start the process under its limit of descriptors."""
        listen = "\n".join(
            f"{place} = 127.0.0.1:{port}" for place, port in self.ports.items()
        )
        settings = self.folder / "one.ini"
        settings.write_text(
            "[instance]\nname = one\nzone = hall-a\nregion = north\n"
            f"[capacity]\nmemory_mb = {self.limits.memory_mb}\n"
            f"[listen]\n{listen}\n[store]\naddress = {self.store.address}\n"
            "[load]\ntell_at_once = true\npredict = true\n"
        )
        most = self.limits.descriptors
        with (self.folder / "one.log").open("wb") as output:
            return subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "briarseam",
                    "serve",
                    f"--settings={settings}",
                ],
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONPATH": str(SOURCE)},
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (most, most)
                ),
            )

    def address(self, place: str) -> tuple[str, int]:
        """Return one of its addresses."""
        return "127.0.0.1", self.ports[place]

    def request(
        self,
        place: str,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request on a new connection and return the answer."""
        sent = system.callers_headers(system.KEY, headers)
        return self.http.request(
            method,
            f"http://127.0.0.1:{self.ports[place]}{path}",
            body=body,
            headers=sent | {"Connection": "close"},
            timeout=ANSWER_S / 3,
        )

    def failure(self) -> str:
        """Send ordinary requests; return what failed, or nothing."""
        plans = (
            ("readiness", READY, "GET", None),
            ("callers", "/submit/ordinary", "POST", b"{}"),
        )
        for place, path, method, body in plans:
            try:
                status = self.request(place, path, method, body).status
            except urllib3.exceptions.HTTPError as error:
                return f"{place}: {error}"
            if status != 200:
                return f"{place}: {status}"
        return ""


class EntryMachine(Judged):
    """An entry with its agent, before stand-ins.

    Parameters
    ----------
    folder
        Settings and output go there.
    limits
        Limits of the process; only that of descriptors is in force.
    """

    def __init__(
        self, folder: pathlib.Path, limits: Limits = Limits()
    ) -> None:
        self.limits = limits
        self.cluster = processes.Cluster(folder, 1)

    def __enter__(self) -> EntryMachine:
        """Start it under its limit of descriptors."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        most = self.limits.descriptors
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
        try:
            self.cluster.__enter__()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        entry = self.cluster.machines[0].entry
        assert entry.process is not None
        self.process = entry.process
        host, _, port = self.cluster.machines[0].entry_address.rpartition(":")
        self.address = host, int(port)
        self.usage = Usage(self.process.pid, {int(port)})
        self.usage.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End everything."""
        self.usage.ended.set()
        self.usage.join()
        self.cluster.__exit__(*exc_info)

    def failure(self) -> str:
        """Submit a call; return what failed, or nothing."""
        reply = self.cluster.submit(0, caller.new_key(), ANSWER_S / 3)
        return "" if reply.status == 200 else f"entry: {reply}"
