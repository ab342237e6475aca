"""An instance on loopback with stand-ins for the platform."""

from __future__ import annotations

import contextlib
import time

import urllib3

from briarseam.compose import node as compose
from briarseam.settings import serving
from briarseam.testing import ports
from briarseam.testing import waiting
from tests.platform import metadata_store
from tests.platform import raw_caller
from tests.platform import worker as workers

HOST = "kitchens.example"
KEY = "key-of-north"
MODEL = "drafts"
TIMEOUT_S = 10
PROMPT = {
    "Model": MODEL,
    "Token_Usage": "1000,50",
    "Prefix_Hash": "aa:600,bb:400",
}

ROUTES = [
    {
        "name": "submit",
        "host": HOST,
        "pathPrefix": "/submit/",
        "kind": "unsafe",
        "timeoutMs": 3000,
        "service": "portal",
        "maxAttempts": 2,
    },
    {
        "name": "status",
        "host": HOST,
        "pathPrefix": "/status/",
        "kind": "safe",
        "timeoutMs": 3000,
        "service": "portal",
        "maxAttempts": 2,
    },
    {
        "name": "draft",
        "host": HOST,
        "pathPrefix": "/draft/",
        "kind": "stream",
        "timeoutMs": 5000,
        "service": "engines",
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
    },
    {
        "name": "once",
        "host": HOST,
        "pathPrefix": "/draft/once/",
        "kind": "stream",
        "timeoutMs": 5000,
        "service": "engines",
        "maxAttempts": 2,
        "sticky": True,
    },
]


def configuration(version: int = 1, **changes: object) -> dict:
    """Return a configuration document of the operators."""
    return {
        "version": version,
        "routes": ROUTES,
        "services": [
            {"name": "portal", "healthPath": "/healthz"},
            {
                "name": "engines",
                "engine": {
                    "slots": 8,
                    "kvCapacityTokens": 100000,
                    "models": [{"name": MODEL}],
                },
            },
        ],
        "tenants": [{"name": "north", "apiKeys": [KEY]}],
    } | changes


def callers_headers(key: str, others: dict[str, str]) -> dict[str, str]:
    """Return the headers of a caller's request."""
    headers = {
        "Host": HOST,
        "Request-Id": f"r{time.monotonic_ns()}",
        "Authorization": f"Bearer {key}",
    }
    headers.update(
        (name.replace("_", "-"), value) for name, value in others.items()
    )
    return headers


class System:
    """An instance, its store and its endpoints."""

    def __init__(self, folder) -> None:
        self.stack = contextlib.ExitStack()
        self.store = self.stack.enter_context(metadata_store.MetadataStore())
        self.workers: dict[str, workers.Worker] = {}
        self.http = urllib3.PoolManager(retries=False)
        self.folder = folder
        self.bounds: dict[str, int] = {}
        self.load: dict[str, object] = {}
        self.node: compose.Node | None = None

    def add_worker(
        self,
        name: str,
        service: str,
        weights: int | None = None,
        **fields: object,
    ) -> workers.Worker:
        """Start an endpoint and write its entry."""
        return self.add(workers.Worker(name), service, weights, **fields)

    def add(
        self,
        worker: workers.Worker,
        service: str,
        weights: int | None = None,
        **fields: object,
    ) -> workers.Worker:
        """Start a prepared endpoint and write its entry."""
        self.stack.enter_context(worker)
        self.workers[worker.id] = worker
        self.write_entry(worker.id, service, weights=weights, **fields)
        return worker

    def write_entry(
        self,
        name: str,
        service: str,
        state: str = "ready",
        weights: int | None = None,
        **fields: object,
    ) -> None:
        """Write an endpoint's entry; fields replace the usual ones."""
        entry = {
            "service": service,
            "address": self.workers[name].address,
            "zone": "hall-a",
            "slots": 8,
            "state": state,
            **self.workers[name].start_fields(),
            **fields,
        }
        if weights is not None:
            entry["models"] = [{"name": MODEL, "version": weights}]
        self.store.write("keyed.servers", name, entry)

    def configure(self, **changes: object) -> None:
        """Write a configuration."""
        self.store.write("keyed.op", "config", configuration(**changes))

    def evacuate(self, zone: str) -> None:
        """Ask for the evacuation of an availability zone."""
        self.store.write("keyed.op", f"evacuate/{zone}", {})

    def end_evacuation(self, zone: str) -> None:
        """Take the evacuation of an availability zone back."""
        self.store.write("keyed.op", f"evacuate/{zone}", None)

    def launch(self) -> compose.Node:
        """Start the instance without waiting for it."""
        self.node = compose.Node(self.settings())
        self.stack.callback(self.node.stop)
        self.node.start()
        return self.node

    def start(self) -> compose.Node:
        """Start the instance; wait until it knows all endpoints."""
        self.launch()
        waiting.until(
            lambda: (
                self.node.is_ready()
                and len(self.node.feeds.registry.all()) == len(self.workers)
            ),
            TIMEOUT_S,
        )
        return self.node

    def launch_another(self, name: str, zone: str = "hall-a") -> compose.Node:
        """Start another instance without waiting for it."""
        node = compose.Node(self.settings(name, zone))
        self.stack.callback(node.stop)
        node.start()
        return node

    def settings(
        self, name: str = "one", zone: str = "hall-a"
    ) -> serving.ServeSettings:
        """Return the settings of an instance."""
        names = (
            "callers",
            "readiness",
            "lookups",
            "peers",
            "metrics",
            "relays",
        )
        free = ports.free_ports(len(names))
        listen = "\n".join(
            f"{place} = 127.0.0.1:{port}"
            for place, port in zip(names, free, strict=True)
        )
        bounds = "\n".join(f"{key} = {n}" for key, n in self.bounds.items())
        load = "\n".join(
            f"{key} = {value}" for key, value in self.load.items()
        )
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[instance]\nname = {name}\nzone = {zone}\nregion = north\n"
            "zone_regions = hall-a:north, hall-b:north, hall-c:south\n"
            f"[listen]\n{listen}\n[store]\naddress = {self.store.address}\n"
            f"[bounds]\n{bounds}\n[load]\n{load}\n"
        )
        return serving.load(str(path))

    def url(self, place: str, path: str) -> str:
        """Return the URL of a path at one of the instance's listeners."""
        address = getattr(self.node.settings.listen, place)
        return f"http://{address}{path}"

    def call(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"{}",
        key: str = KEY,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        """Send a caller's request and return the answer."""
        return self.http.request(
            method,
            self.url("callers", path),
            body=body,
            headers=callers_headers(key, headers),
        )

    def stream(self, path: str, **headers: str) -> urllib3.BaseHTTPResponse:
        """Send a request with a prompt and return the answer."""
        return self.call(path, **(PROMPT | headers))

    def receive(
        self, path: str, version: str = "1.1", **headers: str
    ) -> raw_caller.Received:
        """Send a caller's request and return the answer and its framing."""
        listen = self.node.settings.listen.callers
        sent = callers_headers(KEY, headers)
        return raw_caller.send(str(listen), "POST", path, sent, version)

    def close(self) -> None:
        """Stop the instance and all stand-ins."""
        self.stack.close()
