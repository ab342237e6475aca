"""Case 1: KV cache of an organisation that became isolated.

A tenant's prompts are cached like everybody's.  Then the operator makes the
tenant isolated.  Prompts of other tenants that come long after the change was
acknowledged still run on the KV cache that the isolated tenant made.
"""

from __future__ import annotations

import dataclasses
import pathlib
import sys
import threading
import time

from review import harness
from tests.platform import worker as workers
import urllib3

from briarseam.testing import http_messages

MODEL = "drafts"
KEYS = {"chain": "key-of-chain", "inspectors": "key-of-inspectors"}
APPLY_S = 2.0
# Shared by all prompts of the route: the instructions of the assistant.
SHARED = ("5c1e07a2", 800)


@dataclasses.dataclass
class Part:
    """A cached part of a prompt, and whose request made it."""

    tokens: int
    tenant: str
    request: str


@dataclasses.dataclass(frozen=True)
class Use:
    """A request that ran on a part that another request had made."""

    at_s: float
    request: str
    tenant: str
    part: str
    made_by: str
    made_for: str


class KvEngine(workers.Worker):
    """Engine that caches the parts of prompts under their salt.

    Parameters
    ----------
    id
        Its name.
    record
        Where it writes what it runs.
    """

    def __init__(self, id: str, record: harness.Record) -> None:
        super().__init__(id)
        self.record = record
        self.cached: dict[tuple[str, str], Part] = {}
        self.uses: list[Use] = []
        self.cache_lock = threading.Lock()

    def run(
        self,
        request: http_messages.Request,
        call: str,
        echo: workers.Headers,
    ) -> http_messages.Response:
        """Run a request on what is cached of its prompt."""
        headers = request.headers
        salt = headers.get("cache-salt", "")
        tenant = headers.get("tenant", "")
        used = []
        with self.cache_lock:
            hit = True
            for text in headers["prefix-hash"].split(","):
                part, _, tokens = text.partition(":")
                known = self.cached.get((salt, part))
                hit = hit and known is not None
                if hit:
                    used.append(part)
                    self.uses.append(
                        Use(
                            time.monotonic(),
                            call,
                            tenant,
                            part,
                            known.request,
                            known.tenant,
                        )
                    )
                else:
                    self.cached[salt, part] = Part(int(tokens), tenant, call)
        self.record.note(
            "run",
            engine=self.id,
            request=call,
            tenant=tenant,
            salt=salt,
            used=",".join(used) or "-",
        )
        return super().run(request, call, echo)


def configuration(version: int, isolated: bool) -> dict[str, object]:
    """Return a configuration; the chain's tenant is isolated or not."""
    return {
        "version": version,
        "routes": [
            {
                "name": "draft",
                "host": harness.HOST,
                "pathPrefix": "/draft/",
                "kind": "stream",
                "timeoutMs": 15000,
                "targetLatencyMs": 800,
                "priority": 2,
                "service": "draftmodels",
                "maxAttempts": 2,
                "sticky": True,
                "resumable": True,
                "gapAimMs": 300,
            }
        ],
        "services": [harness.engine_service("draftmodels", MODEL)],
        "tenants": [
            {
                "name": "chain",
                "apiKeys": [KEYS["chain"]],
                "isolated": isolated,
            },
            {"name": "inspectors", "apiKeys": [KEYS["inspectors"]]},
        ],
    }


class Client:
    """Sends prompts of tenants."""

    def __init__(self, deployment: harness.Deployment) -> None:
        self.deployment = deployment
        self.http = urllib3.PoolManager(retries=False)
        self.count = 0

    def send(self, tenant: str) -> None:
        """Send one prompt to each instance."""
        for instance in self.deployment.instances:
            self.count += 1
            call = f"{tenant}-{self.count}"
            answer = self.http.request(
                "POST",
                f"http://127.0.0.1:{instance.callers}/draft/renewal",
                body=b"{}",
                headers={
                    "Host": harness.HOST,
                    "Request-Id": call,
                    "Model": MODEL,
                    "Token-Usage": "1000,8",
                    "Prefix-Hash": f"{SHARED[0]}:{SHARED[1]},{call}:200",
                    "Deadline-Ms": "15000",
                    "Authorization": f"Bearer {KEYS[tenant]}",
                },
                timeout=15.0,
            )
            self.deployment.record.note(
                "answered",
                request=call,
                tenant=tenant,
                instance=instance.name,
                status=answer.status,
            )


def case(record: harness.Record) -> bool:
    """Run the case; return whether the rule was broken."""
    with harness.Deployment(record) as deployment:
        engines = [
            deployment.stack.enter_context(KvEngine(f"i-{n}", record))
            for n in range(3)
        ]
        for engine, zone in zip(engines, harness.ZONES, strict=True):
            deployment.store.write(
                "keyed.servers",
                engine.id,
                harness.engine_entry(
                    "draftmodels", engine.address, MODEL, zone=zone
                ),
            )
        # Without the change the tenant is isolated from the beginning.
        changes = harness.has_trouble()
        deployment.configure(configuration(3, isolated=not changes))
        deployment.start(3)
        client = Client(deployment)
        for _ in range(4):
            client.send("chain")
        changed_s = deployment.configure(configuration(8, isolated=True))
        time.sleep(APPLY_S + 4.0)
        for _ in range(4):
            client.send("inspectors")
            client.send("chain")
        return judge(record, engines, changed_s + APPLY_S)


def judge(
    record: harness.Record, engines: list[KvEngine], from_s: float
) -> bool:
    """Return whether KV cache crossed the wall of an isolated tenant."""
    crossed = [
        use
        for engine in engines
        for use in engine.uses
        if use.at_s > from_s
        and use.tenant != use.made_for
        and "chain" in (use.tenant, use.made_for)
    ]
    for use in crossed:
        record.note(
            "crossed",
            request=use.request,
            tenant=use.tenant,
            part=use.part,
            made_by=use.made_by,
            made_for=use.made_for,
        )
    return bool(crossed)


if __name__ == "__main__":
    sys.exit(harness.run(case, pathlib.Path(__file__).parent))
