"""What the scripts of the second review share.

Real processes of the deploy file on loopback, the project's stand-in of the
platform's store, and sound workers and clients of this file's own.
"""

from __future__ import annotations

import collections
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]


HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "kitchens.example"
KEY = "key-of-north"
ZONES = ("cph-hall-a", "cph-hall-b", "roskilde-hall")
REGION = "dk-east"
HEARTBEAT_S = 1.2
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
PORTS = (12000, 32000)
# Ports that were given out in this run.
GIVEN: set[int] = set()
LISTEN = ("callers", "readiness", "lookups", "peers", "metrics", "relays")
SETTINGS = """\
[instance]
name = {name}
zone = {zone}
region = {region}
zone_regions = {zone_regions}
first_start = true
[capacity]
processor_share = 0.537
processor_speed = 2
link_mbps = 1000.0
memory_mb = {memory_mb}
descriptors = 4100
[listen]
{listen}
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
engines_check_fence = true
version_ms = 15000
lookup_ttl_max_s = 5
configuration_ms = 2000
[logging]
level = info
[load]
tell_at_once = true
predict = true
"""


class CannotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """Everything that was sent, answered and run, with the time."""

    def __init__(self) -> None:
        self.begun_s = time.monotonic()
        self.lines: list[str] = []
        self.lock = threading.Lock()

    def add(self, event: str, **fields: object) -> None:
        """Add a line."""
        told = " ".join(f"{key}={value}" for key, value in fields.items())
        at_s = time.monotonic() - self.begun_s
        with self.lock:
            self.lines.append(f"{at_s:9.4f} {event} {told}".rstrip())

    def write(self, folder: pathlib.Path) -> None:
        """Write all lines into the folder of the case."""
        with self.lock:
            text = "\n".join(self.lines) + "\n"
        (folder / "record.txt").write_text(text)


class Request:
    """One HTTP request as a worker has read it."""

    def __init__(
        self, method: str, target: str, fields: list[tuple[str, str]]
    ) -> None:
        self.method = method
        self.target = target
        self.fields = {name.lower(): value for name, value in fields}
        self.body = b""
        self.at_s = time.monotonic()

    @property
    def id(self) -> str:
        """Its Request-Id."""
        return self.fields.get("request-id", "")


class Wire:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        self.all = b""

    def line(self) -> bytes:
        """Return the next line without its end."""
        while b"\r\n" not in self.buffer:
            self.fill()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    def take(self, size: int) -> bytes:
        """Return so many bytes."""
        while len(self.buffer) < size:
            self.fill()
        taken, self.buffer = self.buffer[:size], self.buffer[size:]
        return taken

    def rest(self) -> bytes:
        """Return all bytes until the connection ends."""
        with contextlib.suppress(EOFError):
            while True:
                self.fill()
        return self.buffer

    def fill(self) -> None:
        """Receive some bytes."""
        data = self.sock.recv(65536)
        if not data:
            raise EOFError("the connection has ended")
        self.buffer += data
        self.all += data

    def fields(self) -> list[tuple[str, str]]:
        """Return the fields of a head."""
        found = []
        while line := self.line():
            name, _, value = line.decode("latin-1").partition(":")
            found.append((name, value.strip()))
        return found

    def chunks(self) -> bytes:
        """Return a body in chunks."""
        body = b""
        while size := int(self.line().partition(b";")[0], 16):
            body += self.take(size)
            self.take(2)
        while self.line():
            pass
        return body

    def body(self, fields: list[tuple[str, str]]) -> bytes:
        """Return a body by its length or chunks; empty without both."""
        named = {name.lower(): value for name, value in fields}
        if named.get("transfer-encoding", "").lower() == "chunked":
            return self.chunks()
        return self.take(int(named.get("content-length", "0")))

    def request(self) -> Request:
        """Return the next request."""
        method, target, _ = self.line().decode("latin-1").split(" ")
        fields = self.fields()
        request = Request(method, target, fields)
        request.body = self.body(fields)
        return request


def answer_bytes(
    status: int, fields: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Told"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Worker:
    """A sound worker of a plain service; cases override what they need."""

    def __init__(
        self,
        id: str,
        record: Record,
        work_s: float = 0.02,
        slots: int = 6,
        address: str = "127.0.0.1:0",
    ) -> None:
        self.id = id
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.ran: collections.Counter[str] = collections.Counter()
        self.born_ms = time.time_ns() // 1_000_000
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=256)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.connections: set[socket.socket] = set()
        self.lock = threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(sock)
            threading.Thread(
                target=self.serve, args=(sock,), daemon=True
            ).start()

    def serve(self, sock: socket.socket) -> None:
        """Answer what comes on a connection."""
        wire = Wire(sock)
        try:
            while True:
                self.answer(sock, wire.request())
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.connections.discard(sock)
            sock.close()

    def answer(self, sock: socket.socket, request: Request) -> None:
        """Answer one request."""
        if request.target == "/healthz":
            sock.sendall(answer_bytes(200, [("Instance-Id", self.id)]))
            return
        if request.fields.get("expect-instance", self.id) != self.id:
            self.record.add("misdirected", worker=self.id, id=request.id)
            echo = [("Request-Id", request.id), ("Not-Executed", "1")]
            sock.sendall(answer_bytes(421, echo))
            return
        with self.lock:
            self.ran[request.id] += 1
        self.record.add(
            "run", worker=self.id, id=request.id, target=request.target
        )
        self.run(sock, request)

    def run(self, sock: socket.socket, request: Request) -> None:
        """Run a request and answer it."""
        time.sleep(self.work_s)
        sock.sendall(self.success(request))

    def success(self, request: Request) -> bytes:
        """Return the answer to a request that was run."""
        return answer_bytes(
            200,
            [
                ("Request-Id", request.id),
                ("Response-Signature", SIGNATURE),
                ("Content-Type", "text/plain"),
                ("Keep-Alive", "timeout=15"),
            ],
            f"{self.id} did {request.id}".encode(),
        )

    def close(self) -> None:
        """Stop."""
        with contextlib.suppress(OSError):
            self.listener.close()
        for sock in list(self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Answer:
    """What a client has got."""

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        # All bytes, also of an answer that broke off.
        self.received = b""
        self.whole = False
        self.error = ""

    @property
    def reason(self) -> str:
        """What a refusal says."""
        return "" if self.status == 200 else self.body[:120].decode("latin-1")

    def __str__(self) -> str:
        """Return it for the record."""
        told = f"status={self.status} whole={self.whole}"
        return f"{told} error={self.error!r}" if self.error else told


class Client:
    """A client with one connection that is kept."""

    def __init__(self, address: str, timeout_s: float = 5.0) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout_s)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wire = Wire(self.sock)
        self.keeps = True

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.sock.sendall(data)

    def read(self, timeout_s: float = 5.0) -> Answer:
        """Read one answer."""
        answer = Answer()
        self.sock.settimeout(timeout_s)
        try:
            while answer.status < 200:
                start = self.wire.line().split(b" ")
                answer.status = int(start[1])
                fields = self.wire.fields()
            answer.fields = {name.lower(): value for name, value in fields}
            answer.body = self.wire.body(fields)
            answer.whole = True
        except (OSError, EOFError, ValueError, IndexError) as error:
            answer.error = f"{type(error).__name__}: {error}"
        answer.received = self.wire.all
        self.wire.all = b""
        self.keeps = (
            answer.whole
            and answer.fields.get("connection", "").lower() != "close"
        )
        return answer

    def close(self) -> None:
        """Close."""
        with contextlib.suppress(OSError):
            self.sock.close()


def request_bytes(
    method: str,
    path: str,
    id: str,
    body: bytes = b"",
    deadline_ms: int = 3000,
    fields: list[tuple[str, str]] | None = None,
    key: str = KEY,
) -> bytes:
    """Return a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
    ]
    lines += [f"{name}: {value}" for name, value in fields or []]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def ask(address: str, data: bytes, timeout_s: float = 5.0) -> Answer:
    """Send one request on a connection of its own; return the answer."""
    try:
        client = Client(address, timeout_s)
    except OSError as error:
        failed = Answer()
        failed.error = f"{type(error).__name__}: {error}"
        return failed
    try:
        client.send(data)
        return client.read(timeout_s)
    except OSError as error:
        failed = Answer()
        failed.error = f"{type(error).__name__}: {error}"
        return failed
    finally:
        client.close()


def free_ports(count: int) -> list[int]:
    """Return free ports.

    They are below those that the system gives to connections, so that none
    takes one of them before it is listened on.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORTS)
        if port not in GIVEN and is_free(port):
            GIVEN.add(port)
            found.append(port)
    return found


def is_free(port: int) -> bool:
    """Return whether nobody has a port, for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class Instance:
    """One process of the deploy file's role."""

    def __init__(
        self, number: int, folder: pathlib.Path, store: str, memory_mb: int
    ) -> None:
        self.name = f"front-{number}"
        self.folder = folder
        ports = free_ports(len(LISTEN))
        self.listen = {
            place: f"127.0.0.1:{port}"
            for place, port in zip(LISTEN, ports, strict=True)
        }
        self.settings = folder / f"{self.name}.ini"
        self.output = folder / f"{self.name}.log"
        zones = ", ".join(f"{zone}:{REGION}" for zone in ZONES)
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=ZONES[number % len(ZONES)],
                region=REGION,
                zone_regions=zones,
                memory_mb=memory_mb,
                listen="\n".join(f"{k} = {v}" for k, v in self.listen.items()),
                store=store,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def callers(self) -> str:
        """Address for clients."""
        return self.listen["callers"]

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["briarseam"]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        environment = {
            **{key: os.environ[key] for key in kept if key in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BRIARSEAM_CONFIG": str(self.settings),
        }
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *command[1:]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether it has ended by itself."""
        return self.process is not None and self.process.poll() is not None

    def memory_mb(self, name: str = "VmHWM") -> float:
        """Return its memory: the peak, or as of now (VmRSS)."""
        assert self.process is not None
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        answer = ask(
            self.listen["readiness"],
            b"GET /briarseam/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
            1.0,
        )
        return answer.status == 200

    def kill(self) -> None:
        """Kill it, and don't wait."""
        self.send(signal.SIGKILL)

    def end(self) -> None:
        """Kill it."""
        if self.process is not None:
            self.kill()
            self.process.wait()


class Deployment:
    """A store, workers with entries, and instances."""

    def __init__(self, instances: int = 3, memory_mb: int = 300) -> None:
        self.stack = contextlib.ExitStack()
        self.record = Record()
        self.folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )
        # Only here: workers of their own processes need no store.
        from tests.platform import metadata_store

        self.store = self.stack.enter_context(metadata_store.MetadataStore())
        self.workers: list[tuple[str, Worker]] = []
        self.gone: set[str] = set()
        self.seq = 0
        self.closing = threading.Event()
        self.instances = [
            Instance(number, self.folder, self.store.address, memory_mb)
            for number in range(instances)
        ]

    def add(self, service: str, worker: Worker) -> Worker:
        """Add a worker to a service."""
        self.stack.callback(worker.close)
        self.workers.append((service, worker))
        self.write_entry(service, worker)
        return worker

    def write_entry(
        self, service: str, worker: Worker, state: str = "ready"
    ) -> None:
        """Write the entry of a worker, as it does by itself."""
        self.seq += 1
        self.store.write(
            "keyed.servers",
            worker.id,
            {
                "service": service,
                "address": worker.address,
                "zone": ZONES[self.seq % len(ZONES)],
                "version": getattr(worker, "version", "1"),
                "slots": worker.slots,
                "state": state,
                "coldRemainingMs": 0,
                "seq": self.seq,
                "born": worker.born_ms,
            },
        )

    def keep_entries(self) -> None:
        """Write all entries again at each heartbeat."""
        while True:
            known = list(self.workers)
            for service, worker in known:
                if self.closing.wait(HEARTBEAT_S / len(known)):
                    return
                if worker.id not in self.gone:
                    self.write_entry(service, worker)

    def configure(self, document: dict) -> None:
        """Write a configuration."""
        self.store.write("keyed.op", "config", document)
        self.record.add("configured", version=document["version"])

    def start(self) -> None:
        """Start all instances and wait until they serve."""
        threading.Thread(target=self.keep_entries, daemon=True).start()
        self.start_instances()
        self.await_ready()
        # Until peers have met.
        time.sleep(3.0)
        self.record.add("ready", instances=len(self.instances))

    def start_instances(self) -> None:
        """Start the processes of all instances."""
        for instance in self.instances:
            instance.start()

    def await_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until all instances say that they are ready."""
        end_s = time.monotonic() + timeout_s
        while not all(one.is_ready() for one in self.instances):
            if time.monotonic() > end_s:
                raise CannotRunError("an instance was not ready in time")
            time.sleep(0.1)

    def close(self) -> None:
        """End all processes that were started."""
        self.closing.set()
        for instance in self.instances:
            instance.end()
        self.stack.close()


def route(name: str, kind: str, **changes: object) -> dict:
    """Return a route for the path of its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": "portal",
        "maxAttempts": 2,
        **changes,
    }


def configuration(routes: list[dict], version: int = 1) -> dict:
    """Return a configuration with one service and one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "portal", "healthPath": "/healthz"}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "north", "apiKeys": [KEY]}],
    }


def main(case, file: str) -> None:
    """Run a case; exit as the issue says.

    Parameters
    ----------
    case
        Called with the record's owner; returns the breaches that it saw.
    file
        File of the case.
    """
    folder = pathlib.Path(file).resolve().parent
    deployment = Deployment(**getattr(case, "options", {}))
    status = CANNOT_RUN
    try:
        breaches = case(deployment)
        for breach in breaches:
            deployment.record.add("BREACH", what=breach)
            print(breach)
        status = BROKEN if breaches else HELD
    except CannotRunError as error:
        deployment.record.add("cannot-run", why=error)
        print(f"cannot run: {error}")
    finally:
        keep = os.environ.get("KEEP_LOGS")
        for instance in deployment.instances:
            if keep and instance.output.exists():
                target = pathlib.Path(keep) / instance.output.name
                target.write_bytes(instance.output.read_bytes())
        deployment.record.add("end", status=status)
        deployment.record.write(folder)
        deployment.close()
    print("broken" if status == BROKEN else f"exit {status}")
    raise SystemExit(status)
