"""A deployment of real processes before stand-ins of the platform."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import threading
import time

from tests.platform import metadata_store
from tests.platform import system
from tests.platform import worker as workers
from tests.soak import contention
from tests.soak import crashes
from tests.soak import isolation
from tests.soak import kept_parts
from tests.soak import links
from tests.soak import paths
from tests.soak import processes
from tests.soak import releases
from tests.soak import stalls

from briarseam.testing import ports
from briarseam.testing import stand_in

SERVICES = ("engines", "engines", "engines", "portal", "portal")
ZONES = ("hall-a", "hall-b")
LISTEN = ("callers", "readiness", "lookups", "peers", "metrics", "relays")
# Limits of endpoints after their start, where a run has them.
COLD_START_S = 2.0
COLD_PER_S = 8.0
EVENTS = 6
SLOTS = 8
SHUTDOWN_S = 4.0
# Each run has an address of its own.  At a common one, whoever still polls a
# stand-in of another test would reach an endpoint that got its port.
HOST = f"127.1.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 255}"
# Removed and added by turns; requests on it show what is in force.
TOGGLED = {
    "name": "toggled",
    "host": system.HOST,
    "pathPrefix": "/toggled/",
    "kind": "safe",
    "timeoutMs": 3000,
    "service": "portal",
    "maxAttempts": 2,
}


@dataclasses.dataclass(frozen=True)
class Limit:
    """A limit that an endpoint named for a while.

    Attributes
    ----------
    worker, per_s
        The endpoint and its limit.
    first_s
        When it first named any limit, monotonic seconds.
    began_s, ended_s
        When it named this one.
    """

    worker: str
    per_s: float
    first_s: float
    began_s: float
    ended_s: float


@dataclasses.dataclass(frozen=True)
class Fragile:
    """A time in which a service's endpoints fail by too many rejections.

    Attributes
    ----------
    workers
        The endpoints.
    per_s
        How many each may reject in a second.
    began_s, ended_s
        When they said so, monotonic seconds.
    """

    workers: tuple[workers.Worker, ...]
    per_s: int
    began_s: float
    ended_s: float


@dataclasses.dataclass
class Endpoint:
    """One address that endpoints run behind, one after the other.

    Attributes
    ----------
    service
        Their service.
    link
        Where instances reach them.
    worker
        The present one.
    zone
        Where it is.
    left
        Names of those that left, and when that was acknowledged.
    delay_ms
        How long the present one takes for each request.
    """

    service: str
    link: links.Link
    worker: workers.Worker
    zone: str
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    delay_ms: int = 0


@dataclasses.dataclass
class Evacuation:
    """One evacuation of a zone.

    Attributes
    ----------
    zone
        The zone.
    began_s, ended_s
        When the store acknowledged it and its end, monotonic seconds.
    """

    zone: str
    began_s: float
    ended_s: float = float("inf")


class Deployment:
    """Instances, endpoints and the store.

    Parameters
    ----------
    folder
        Settings and output go there.
    instances
        How many.
    shutdown_s
        Their time to shut down.
    cold
        Whether endpoints are limited after their start.
    cuts
        Whether each instance has links of its own to endpoints.
    seed
        Determines how endpoints that crashed are back.
    versions
        Whether events name the software version of their endpoint.
    crash_after_s
        How long endpoints run a request that crashes them.
    slots
        Slots of each engine where organisations contend for them; 0 for
        plenty, and a single organisation.
    ordered_waiting
        Whether requests wait in the ordered queue.
    keeps_parts
        Whether there are several organisations, and engines and a store
        that keep parts of their prompts.
    freeing
        Whether engines fetch these for long, and load weights by orders.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        instances: int,
        shutdown_s: float = SHUTDOWN_S,
        cold: bool = False,
        cuts: bool = False,
        seed: int = 0,
        versions: bool = False,
        crash_after_s: float = 0.0,
        slots: int = 0,
        ordered_waiting: bool = False,
        keeps_parts: bool = False,
        freeing: bool = False,
    ) -> None:
        self.slots = slots
        self.stall_watch = stalls.StallWatch()
        self.kept = isolation.Kept() if keeps_parts else None
        if freeing:
            self.kept = kept_parts.Kept(seed, self.renew_entry)
        # Names of endpoints that go on though their entries have lapsed, and
        # of those that others have replaced.
        self.lapsed: set[str] = set()
        self.replaced: set[str] = set()
        self.versions = versions
        self.crash_after_s = crash_after_s
        # When the last fault ended, where a run checks what follows.
        self.last_fault_s: float | None = None
        self.path_cuts: list[paths.PathCut] = []
        self.fragile: list[Fragile] = []
        self.cold = cold
        self.evacuations: list[Evacuation] = []
        self.limits: list[Limit] = []
        # Zones of all endpoints, and since when each was cold.
        self.zones: dict[str, str] = {}
        self.cold_since: dict[str, list[float]] = {}
        self.shutdown_s = shutdown_s
        self.ordered_waiting = ordered_waiting
        self.names = itertools.count()
        self.version = 0
        self.document: dict = {}
        self.toggled = True
        self.stack = contextlib.ExitStack()
        self.lock = threading.Lock()
        self.past: list[workers.Worker] = []
        self.crashes: list[crashes.Crash] = []
        # When all engines ended together, by no request.
        self.ended_together_s: list[float] = []
        # Times of all endpoints' versions, and the present one of each.
        self.serving_periods: list[releases.ServingPeriod] = []
        self.open_periods: dict[str, releases.ServingPeriod] = {}
        self.random = random.Random(seed)
        self.closing = threading.Event()
        self.configured: list[tuple[float, bool]] = []
        self.store = self.stack.enter_context(metadata_store.MetadataStore())
        if self.kept is not None:
            for store in self.kept.stores:
                self.stack.enter_context(store)
        self.store_troubled_until = 0.0
        self.endpoints = [
            self.new_endpoint(name, ZONES[number % len(ZONES)])
            for number, name in enumerate(SERVICES)
        ]
        self.instances = [
            self.new_instance(f"instance-{number}", folder)
            for number in range(instances)
        ]
        if cuts:
            for instance in self.instances:
                self.add_paths(instance)
        if freeing:
            for instance in self.instances:
                self.add_paths_to_peers(instance)

    def new_instance(
        self, name: str, folder: pathlib.Path
    ) -> processes.Instance:
        """Return an instance, not started."""
        link = links.Link(self.store.address)
        self.stack.callback(link.stop)
        free = ports.free_ports(len(LISTEN))
        listen = {
            kind: f"127.0.0.1:{port}"
            for kind, port in zip(LISTEN, free, strict=True)
        }
        made = processes.Instance(
            name,
            folder,
            link,
            listen,
            self.shutdown_s,
            ordered_waiting=self.ordered_waiting,
        )
        if isinstance(self.kept, kept_parts.Kept):
            made.bounds = kept_parts.BOUNDS
        made.write_settings()
        self.stack.callback(made.end, signal.SIGKILL)
        return made

    def add_paths(self, instance: processes.Instance) -> None:
        """Give an instance links of its own to all endpoints."""
        addresses = [endpoint.link.address for endpoint in self.endpoints]
        instance.paths = paths.Paths(addresses, HOST)
        self.stack.callback(instance.paths.stop)

    def add_paths_to_peers(self, instance: processes.Instance) -> None:
        """Give an instance links of its own to all others."""
        addresses = [
            one.listen[kind]
            for one in self.instances
            if one is not instance
            for kind in ("peers", "relays")
        ]
        instance.paths = paths.Paths(addresses, HOST)
        self.stack.callback(instance.paths.stop)

    def new_worker(
        self, version: str = releases.VERSIONS[0], name: str = ""
    ) -> workers.Worker:
        """Return a started endpoint."""
        kind = crashes.CrashingWorker
        if self.slots:
            kind = contention.Engine
        if self.kept is not None:
            kind = self.kept.new_engine
        worker = kind(
            name or f"worker-{next(self.names)}",
            f"{HOST}:0",
            stand_in.wall_ms(),
            version,
            self.crash,
        )
        worker.names_version = self.versions
        worker.crash_after_s = self.crash_after_s
        worker.set(events=EVENTS)
        self.stack.enter_context(worker)
        self.past.append(worker)
        return worker

    def new_endpoint(self, service: str, zone: str) -> Endpoint:
        """Return an address with an endpoint behind it."""
        worker = self.new_worker()
        made = Endpoint(
            service, links.Link(worker.address, HOST), worker, zone
        )
        self.stack.callback(made.link.stop)
        self.write_entry(made)
        return made

    def write_entry(self, endpoint: Endpoint, state: str = "ready") -> None:
        """Write the entry of the present endpoint at an address."""
        entry = {
            "service": endpoint.service,
            "address": endpoint.link.address,
            "zone": endpoint.zone,
            "slots": self.slots or SLOTS,
            "state": state,
            "coldRemainingMs": self.cold_remaining_ms(endpoint.worker.id),
            **endpoint.worker.start_fields(),
        }
        if self.kept is not None and endpoint.service == "engines":
            entry["models"] = endpoint.worker.models()
        if endpoint.worker.id in self.lapsed | self.replaced:
            return
        self.zones[endpoint.worker.id] = endpoint.zone
        self.record_period(endpoint, state)
        self.store.write("keyed.servers", endpoint.worker.id, entry)

    def renew_entry(self, name: str) -> None:
        """Write the entry of an endpoint again, if it is still there."""
        for endpoint in self.endpoints:
            if endpoint.worker.id == name:
                left = name in endpoint.left
                self.write_entry(endpoint, "draining" if left else "ready")

    def record_period(self, endpoint: Endpoint, state: str) -> None:
        """Record which version an endpoint runs, while it takes new work."""
        address = endpoint.link.address
        period = self.open_periods.pop(address, None)
        version = endpoint.worker.version
        if period is not None and (state, period.version) != (
            "ready",
            version,
        ):
            period.ended_s = time.monotonic()
            period = None
        if state == "ready" and endpoint.service == "engines":
            if period is None:
                period = releases.ServingPeriod(version, time.monotonic())
                self.serving_periods.append(period)
            self.open_periods[address] = period

    def release(
        self, endpoint: Endpoint, version: str, keeps_name: bool
    ) -> None:
        """Replace an endpoint by one that runs another version."""
        if not keeps_name or endpoint.worker.id in endpoint.left:
            self.replace(endpoint, version)
            return
        self.end_period(endpoint)
        endpoint.link.refuse_new()
        endpoint.link.reset()
        endpoint.worker.stop()
        endpoint.worker = self.new_worker(version, endpoint.worker.id)
        endpoint.link.target = endpoint.worker.address
        endpoint.link.accept_new()
        self.write_entry(endpoint)

    def end_period(self, endpoint: Endpoint) -> None:
        """Record that an endpoint takes no more work."""
        period = self.open_periods.pop(endpoint.link.address, None)
        if period is not None:
            period.ended_s = time.monotonic()

    def crash(
        self, worker: crashes.CrashingWorker, crash: crashes.Crash
    ) -> None:
        """Let a request crash an endpoint."""
        self.crashes.append(crash)
        self.end_endpoint(worker)

    def end_service(self, service: str) -> None:
        """Let all endpoints of a service end together, by no request."""
        if service == "engines":
            self.ended_together_s.append(time.monotonic())
        for endpoint in self.endpoints:
            worker = endpoint.worker
            if endpoint.service == service and worker.begin_end():
                threading.Thread(
                    target=self.end_endpoint, args=(worker,), daemon=True
                ).start()

    def end_endpoint(self, worker: crashes.CrashingWorker) -> None:
        """Let an endpoint be gone, and back after a while."""
        [endpoint] = [one for one in self.endpoints if one.worker is worker]
        endpoint.link.refuse_new()
        endpoint.link.reset()
        worker.stop()
        with self.lock:
            down_s, how = crashes.draw_restart(self.random)
        self.closing.wait(min(down_s, crashes.EXPIRY_S))
        if down_s > crashes.EXPIRY_S:
            self.store.write("keyed.servers", worker.id, None)
            self.closing.wait(down_s - crashes.EXPIRY_S)
        if self.closing.is_set():
            return
        name = worker.id if how is crashes.Restart.SAME_NAME else ""
        endpoint.worker = self.new_worker(worker.version, name)
        if how is crashes.Restart.NEW_NAME_WITHOUT_BIRTH:
            endpoint.worker.born = None
        endpoint.link.target = endpoint.worker.address
        endpoint.link.accept_new()
        self.write_entry(endpoint)
        if endpoint.worker.id != worker.id and down_s < crashes.EXPIRY_S:
            self.closing.wait(crashes.EXPIRY_S - down_s)
            self.store.write("keyed.servers", worker.id, None)

    def cold_remaining_ms(self, worker: str) -> float:
        """Return how long an endpoint stays cold."""
        since_s = self.cold_since.get(worker, [0.0])[-1]
        return max(0.0, since_s + COLD_START_S - time.monotonic()) * 1000

    def let_cool(self, endpoint: Endpoint) -> None:
        """Let an endpoint be cold from now on, where a run has that."""
        if self.cold:
            times = self.cold_since.setdefault(endpoint.worker.id, [])
            times.append(time.monotonic())

    def evacuate(self, zone: str) -> None:
        """Ask for the evacuation of a zone."""
        self.store.write("keyed.op", f"evacuate/{zone}", {})
        self.evacuations.append(Evacuation(zone, time.monotonic()))

    def end_evacuation(self, zone: str) -> None:
        """Take an evacuation back; the zone's endpoints are cold."""
        for endpoint in self.endpoints:
            if endpoint.zone == zone:
                self.let_cool(endpoint)
        for one in self.evacuations:
            if one.zone == zone:
                one.ended_s = min(one.ended_s, time.monotonic())
        self.store.write("keyed.op", f"evacuate/{zone}", None)
        for endpoint in self.endpoints:
            if endpoint.zone == zone and not endpoint.left:
                self.write_entry(endpoint)

    def replace(self, endpoint: Endpoint, version: str = "") -> None:
        """Let another endpoint take over an address."""
        self.replaced.add(endpoint.worker.id)
        self.store.write("keyed.servers", endpoint.worker.id, None)
        self.end_period(endpoint)
        worker = self.new_worker(version or endpoint.worker.version)
        endpoint.link.resets.append(time.monotonic())
        endpoint.worker.stop()
        endpoint.worker = worker
        if self.slots:
            self.set_pace(endpoint)
        self.let_cool(endpoint)
        endpoint.link.target = worker.address
        endpoint.link.reset()
        self.write_entry(endpoint)

    def write_again(self) -> None:
        """Write what operators and endpoints wrote, after a restore."""
        for worker in self.past:
            self.store.write("keyed.servers", worker.id, None)
        for endpoint in self.endpoints:
            left = endpoint.worker.id in endpoint.left
            self.write_entry(endpoint, "draining" if left else "ready")
        with self.lock:
            self.store.write("keyed.op", "config", self.document)
        for one in self.evacuations:
            value = {} if one.ended_s == float("inf") else None
            self.store.write("keyed.op", f"evacuate/{one.zone}", value)

    def slow_down(self, delays_ms: list[int]) -> None:
        """Let calls, and all events of a stream, take so long at each."""
        for endpoint, delay_ms in zip(self.endpoints, delays_ms, strict=True):
            endpoint.delay_ms = delay_ms
            self.set_pace(endpoint)

    def set_pace(self, endpoint: Endpoint, factor: float = 1.0) -> None:
        """Let the present endpoint take some times as long as usual."""
        delay_ms = int(endpoint.delay_ms * factor)
        endpoint.worker.set(delay_ms=delay_ms, pause_ms=delay_ms // EVENTS)

    def configure(self, toggled: bool) -> None:
        """Write the next configuration."""
        with self.lock:
            self.version += 1
            routes = [*system.ROUTES, *([TOGGLED] if toggled else [])]
            self.document = system.configuration(self.version, routes=routes)
            if self.slots:
                self.document["tenants"] = contention.tenants()
            if self.kept is not None:
                self.kept.add_to(self.document)
            if self.cold:
                limits = {"coldStartS": COLD_START_S, "coldPerS": COLD_PER_S}
                self.document["services"] = [
                    {**service, **limits}
                    for service in self.document["services"]
                ]
            self.store.write("keyed.op", "config", self.document)
            if self.kept is not None:
                self.kept.record()
            self.toggled = toggled
            self.configured.append((time.monotonic(), toggled))

    def isolate(
        self, organisations: tuple[str, ...], keyless: tuple[str, ...]
    ) -> None:
        """Change which organisations are isolated, and which have no key."""
        with self.lock:
            self.kept.tenants = isolation.tenants_of(organisations, keyless)
        self.configure(self.toggled)

    def replace_weights(self) -> None:
        """Let all engines have the next weights."""
        with self.lock:
            self.kept.weights += 1
        for endpoint in self.endpoints:
            left = endpoint.worker.id in endpoint.left
            self.write_entry(endpoint, "draining" if left else "ready")

    def ran(self) -> dict[str, list[str]]:
        """Return the endpoints that ran each request, by its id."""
        found: dict[str, list[str]] = {}
        for worker in list(self.past):
            for request_id in list(worker.ran):
                found.setdefault(request_id, []).append(worker.id)
        return found

    def cuts(self) -> dict[str, int]:
        """Return how many answers were cut short, by their form."""
        found = collections.Counter(
            f"{form.framing}/{form.version} {form.cut} {form.ending}"
            for worker in self.past
            for form in worker.forms
            if form.cut
        )
        return dict(sorted(found.items()))

    def errors(self) -> list[str]:
        """Return what instances logged as errors, or did not log at all."""
        return [
            f"{instance.name}: {line}"
            for instance in self.instances
            for line in instance.output.read_text().splitlines()
            if is_error(line)
        ]

    def start(self) -> None:
        """Start all instances."""
        self.configure(True)
        for instance in self.instances:
            instance.start()

    def close(self) -> None:
        """End everything that was started here."""
        self.closing.set()
        self.stack.close()


def is_error(line: str) -> bool:
    """Tell whether a line is an error's, or no line of the log.

    Bad settings are written on purpose, and are to be told as an error.
    """
    if not line.startswith("{"):
        return True
    told = json.loads(line)
    return bool(
        told.get("level") == "error"
        and told["event"] != "settings_not_reloaded"
    )
