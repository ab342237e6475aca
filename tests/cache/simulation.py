"""Deterministic simulation of agents, stores and an engine.

Two agents share two stores and an engine.  The test runs every step of their
maintenance in an order drawn from a seed, also during exports and imports.
The stores and the test count violations of the cache's guarantees.
"""

from __future__ import annotations

import dataclasses
import random

from briarseam.cache import exporting
from briarseam.cache import service
from briarseam.cache import state
from briarseam.configuration import values
from briarseam.endpoints import store as store_client
from briarseam.wire import codec
from briarseam.wire import connection as connections
from tests.cache import site as sites

CAPACITY = 80_000
BLOCK_BYTES = 4085
ORGANISATIONS = ("kitchen", "crew", "portal")
VERSIONS = ("v1", "v2")
CHAINS = [sites.chain(3, seed) for seed in range(4)]


@dataclasses.dataclass
class SimulationCounts:
    """Counts of violations, and of operations that could cause them."""

    partial_read: int = 0
    freed_read: int = 0
    deleted_under_reader: int = 0
    other_organisation: int = 0
    other_version: int = 0
    stale_boot_read: int = 0
    imports: int = 0
    imported: int = 0
    plans: int = 0
    faults: int = 0

    def violations(self):
        return {
            name: count
            for name, count in dataclasses.asdict(self).items()
            if count and name not in ("imports", "imported", "plans", "faults")
        }


class CheckedStore(sites.RecordingStore):
    """Counts reads of incomplete blocks and deletions during a read."""

    def answer(self, request):
        match request.method, request.path:
            case "GET", ("blocks", name):
                found = self.blocks.read(name, 1 << 30)
                if found and len(found.block.content) < BLOCK_BYTES:
                    self.counts.partial_read += 1
            case "DELETE", ("blocks", name):
                if name in self.reading:
                    self.counts.deleted_under_reader += 1
        return super().answer(request)


class Simulation:
    """Agents, two stores and an engine with one clock and one seed."""

    def __init__(self, seed, agents=2, all_own=False):
        self.all_own = all_own
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.counts = SimulationCounts()
        self.reading = []
        self.nesting = 0
        self.site = sites.Site(("keep-a", "keep-b"), fill=0.8)
        for store in self.site.stores.values():
            self.watch(store)
        self.count = agents
        self.agents = [self.agent(number) for number in range(agents)]

    def watch(self, store):
        store.__class__ = CheckedStore
        store.counts = self.counts
        store.reading = self.reading
        store.set(capacity=CAPACITY)

    def agent(self, number):
        def holders(group):
            if self.count == 1:
                return state.Holders()
            is_owner = self.all_own or group[-1] % 2 == number
            return state.Holders(
                is_owner=is_owner, others=(str(1 - number),), epoch=1
            )

        def call(address, request, timeout_s):
            if self.rng.random() < 0.1:
                raise connections.WireError("lost")
            other = self.agents[int(address)]
            payload = codec.encode(request)[codec.LENGTH.size :]
            message = codec.decode(payload)
            handlers = {
                "KeptAsk": other.sharing.answer,
                "KeptChange": other.sharing.apply_change,
            }
            return handlers[type(message).__name__](None, message)

        ports = service.Ports(
            holders=holders,
            call=call,
            clock=lambda: self.now,
            wall_clock=lambda: self.now,
        )
        kept = service.KeptCache(
            self.site.view, sites.KEY, sites.Counts(), ports, sweep_pause_s=0.0
        )
        kept.update_stores()
        write = kept.context.engine.export
        kept.context.engine.export = lambda *given: self.exporting(
            write, given
        )
        for exporter in kept.exporters.values():
            exporter.wait_for = check_without_waiting
        order = kept.context.engine.import_blocks
        kept.context.engine.import_blocks = lambda *given: self.importing(
            kept, order, *given
        )
        return kept

    def importing(self, kept, order, address, request, timeout_s):
        """Run other steps before an import reads its blocks."""
        names = [entry.block for entry in request.blocks]
        pending_deletions = {
            kept.names.format(packed)
            for packed in kept.index.pending_deletions
        }
        self.counts.freed_read += len(pending_deletions.intersection(names))
        self.reading.extend(names)
        self.interleave()
        try:
            return order(address, request, timeout_s)
        finally:
            for name in names:
                self.reading.remove(name)

    def exporting(self, write, given):
        """Run other steps between a write and its confirmation."""
        written = write(*given)
        self.interleave()
        return written

    def interleave(self):
        if self.nesting == 0:
            self.nesting += 1
            for _ in range(self.rng.randrange(4)):
                self.step()
            self.nesting -= 1

    def step(self):
        kept = self.rng.choice(self.agents)
        operation = self.rng.choices(
            [
                self.run,
                self.return_session,
                self.export_once,
                self.maintain,
                self.send_changes,
                self.advance_clock,
                self.inject_fault,
            ],
            [4, 6, 8, 6, 4, 2, 1],
        )[0]
        operation(kept)

    def run(self, kept):
        chain = self.rng.choice(CHAINS)[: self.rng.randrange(1, 4)]
        session = f"s{self.rng.randrange(6)}"
        organisation = self.rng.choice(ORGANISATIONS)
        version = self.site.models["draft"].version
        self.site.run(kept, organisation, chain, version, session)

    def return_session(self, kept):
        organisation = self.rng.choice(ORGANISATIONS)
        version = self.site.models["draft"].version
        session = f"s{self.rng.randrange(6)}"
        chain = self.rng.choice(CHAINS)
        plan = self.site.plan(
            kept, organisation, chain, version, session=session
        )
        self.counts.plans += 1
        self.check(kept, organisation, version, plan)
        if self.rng.random() < 0.3:
            self.maintain(self.rng.choice(self.agents))
        if plan.blocks:
            self.counts.imports += 1
            done = kept.import_to(self.site.engine.address, plan)
            self.counts.imported += done.pieces

    def check(self, kept, organisation, version, plan):
        own = kept.names.organisation(organisation)
        variant = kept.names.variant("draft", "", version)
        for planned in plan.blocks:
            block = planned.block
            self.counts.other_organisation += block.group[:4] != own
            self.counts.other_version += block.variant != variant
            boot = kept.stores.get(block.store).boot_id
            self.counts.stale_boot_read += block.boot_id != boot

    def export_once(self, kept):
        for exporter in kept.exporters.values():
            job = exporter.queue.get(0)
            if job is not None:
                exporter.run_job(job)

    def maintain(self, kept):
        for maintainer in kept.maintainers.values():
            try:
                maintainer.step()
            except store_client.StoreUnavailableError as error:
                kept.stores.record_failure(maintainer.store, str(error))

    def send_changes(self, kept):
        if not kept.sharing.changes.empty():
            kept.sharing.send_batch(0.01)

    def advance_clock(self, kept):
        longest = 2 if self.nesting else 3
        self.now += self.rng.choice((0.1, 3.0, 12.0)[:longest])

    def inject_fault(self, kept):
        self.counts.faults += 1
        name = self.rng.choice(list(self.site.stores))
        store = self.site.stores[name]
        match self.rng.randrange(7):
            case 0 | 1:
                store.set(half_writes=2)
            case 2:
                store.set(corrupt_reads=1)
            case 3:
                store.boot_id = f"boot-{self.rng.random()}"
                store.blocks.__init__()
            case 4:
                self.agents[self.agents.index(kept)] = self.agent(
                    self.agents.index(kept)
                )
            case 5:
                self.replace_weights()
            case 6:
                self.site.forget()

    def replace_weights(self):
        old = self.site.models["draft"].version
        new = VERSIONS[1 - VERSIONS.index(old)]
        self.site.models = {"draft": values.Model(version=new)}
        weights = self.site.engine.weights
        present = weights.models["draft"]
        weights.models["draft"] = dataclasses.replace(present, version=new)

    def run_steps(self, operations):
        try:
            for _ in range(operations):
                self.step()
        finally:
            self.site.stop()
        return self.counts


def check_without_waiting(condition, job):
    if not condition():
        raise exporting.ExportStoppedError("late")
