"""Agents, stores and an engine whose every step is drawn from a seed.

Two agents share two stores and an engine; every step of their upkeep is
taken by the test, in an order drawn from the seed, also in the middle of an
import.  The stores and the test count what must never happen.
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
BLOCK = 4085
ORGANISATIONS = ("kitchen", "crew", "portal")
VERSIONS = ("v1", "v2")
CHAINS = [sites.chain(3, seed) for seed in range(4)]


@dataclasses.dataclass
class Never:
    """Counts of what must never happen, and of what shows it was tried."""

    half_read: int = 0
    freed_read: int = 0
    deleted_under_reader: int = 0
    other_organisation: int = 0
    other_version: int = 0
    stale_boot_read: int = 0
    imports: int = 0
    imported: int = 0
    plans: int = 0
    faults: int = 0

    def broken(self):
        return {
            name: count
            for name, count in dataclasses.asdict(self).items()
            if count and name not in ("imports", "imported", "plans", "faults")
        }


class WatchedStore(sites.RecordingStore):
    """Counts reads of halves and deletions under a reader."""

    def answer(self, request):
        match request.method, request.path:
            case "GET", ("blocks", name):
                found = self.blocks.read(name, 1 << 30)
                if found and len(found.block.content) < BLOCK:
                    self.never.half_read += 1
            case "DELETE", ("blocks", name):
                if name in self.reading:
                    self.never.deleted_under_reader += 1
        return super().answer(request)


class World:
    """Agents, two stores, one engine, one clock, one seed."""

    def __init__(self, seed, agents=2, all_own=False):
        self.all_own = all_own
        self.chance = random.Random(seed)
        self.now = 1000.0
        self.never = Never()
        self.reading = []
        self.depth = 0
        self.site = sites.Site(("keep-a", "keep-b"), fill=0.8)
        for store in self.site.stores.values():
            self.watch(store)
        self.count = agents
        self.agents = [self.agent(me) for me in range(agents)]

    def watch(self, store):
        store.__class__ = WatchedStore
        store.never = self.never
        store.reading = self.reading
        store.set(capacity=CAPACITY)

    def agent(self, me):
        def holders(group):
            if self.count == 1:
                return state.Holders()
            mine = self.all_own or group[-1] % 2 == me
            return state.Holders(mine=mine, others=(str(1 - me),), epoch=1)

        def call(address, request, timeout_s):
            if self.chance.random() < 0.1:
                raise connections.WireError("lost")
            other = self.agents[int(address)]
            payload = codec.encode(request)[codec.LENGTH.size :]
            message = codec.decode(payload)
            handlers = {
                "KeptAsk": other.sharing.answer,
                "KeptChange": other.sharing.take,
            }
            return handlers[type(message).__name__](None, message)

        ports = service.Ports(
            holders=holders,
            call=call,
            clock=lambda: self.now,
            wall_clock=lambda: self.now,
        )
        kept = service.KeptCache(
            self.site.view, sites.KEY, sites.Counts(), ports, rest_s=0.0
        )
        kept.update_stores()
        write = kept.tools.engine.export
        kept.tools.engine.export = lambda *given: self.exporting(write, given)
        for exporter in kept.exporters.values():
            exporter.wait_for = without_waiting
        order = kept.tools.engine.import_blocks
        kept.tools.engine.import_blocks = lambda *given: self.importing(
            kept, order, *given
        )
        return kept

    def importing(self, kept, order, address, request, timeout_s):
        """Let other things happen before an import's reads."""
        names = [wanted.block for wanted in request.blocks]
        dying = {kept.names.text(packed) for packed in kept.index.dying}
        self.never.freed_read += len(dying.intersection(names))
        self.reading.extend(names)
        self.meanwhile()
        try:
            return order(address, request, timeout_s)
        finally:
            for name in names:
                self.reading.remove(name)

    def exporting(self, write, given):
        """Let other things happen between a write and its confirmation."""
        written = write(*given)
        self.meanwhile()
        return written

    def meanwhile(self):
        if self.depth == 0:
            self.depth += 1
            for _ in range(self.chance.randrange(4)):
                self.step()
            self.depth -= 1

    def step(self):
        kept = self.chance.choice(self.agents)
        operation = self.chance.choices(
            [
                self.run,
                self.come_back,
                self.export,
                self.keep,
                self.tell,
                self.pass_time,
                self.fault,
            ],
            [4, 6, 8, 6, 4, 2, 1],
        )[0]
        operation(kept)

    def run(self, kept):
        chain = self.chance.choice(CHAINS)[: self.chance.randrange(1, 4)]
        session = f"s{self.chance.randrange(6)}"
        organisation = self.chance.choice(ORGANISATIONS)
        version = self.site.models["draft"].version
        self.site.run(kept, organisation, chain, version, session)

    def come_back(self, kept):
        organisation = self.chance.choice(ORGANISATIONS)
        version = self.site.models["draft"].version
        session = f"s{self.chance.randrange(6)}"
        chain = self.chance.choice(CHAINS)
        plan = self.site.plan(
            kept, organisation, chain, version, session=session
        )
        self.never.plans += 1
        self.check(kept, organisation, version, plan)
        if self.chance.random() < 0.3:
            self.keep(self.chance.choice(self.agents))
        if plan.blocks:
            self.never.imports += 1
            done = kept.import_to(self.site.engine.address, plan)
            self.never.imported += done.pieces

    def check(self, kept, organisation, version, plan):
        own = kept.names.organisation(organisation)
        variant = kept.names.variant("draft", "", version)
        for planned in plan.blocks:
            block = planned.block
            self.never.other_organisation += block.group[:4] != own
            self.never.other_version += block.variant != variant
            boot = kept.stores.get(block.store).boot_id
            self.never.stale_boot_read += block.boot_id != boot

    def export(self, kept):
        for exporter in kept.exporters.values():
            job = exporter.queue.take(0)
            if job is not None:
                exporter.carry_out(job)

    def keep(self, kept):
        for keeper in kept.keepers.values():
            try:
                keeper.step()
            except store_client.StoreUnavailableError as error:
                kept.stores.failed(keeper.store, str(error))

    def tell(self, kept):
        if not kept.sharing.changes.empty():
            kept.sharing.tell_once(0.01)

    def pass_time(self, kept):
        longest = 2 if self.depth else 3
        self.now += self.chance.choice((0.1, 3.0, 12.0)[:longest])

    def fault(self, kept):
        self.never.faults += 1
        name = self.chance.choice(list(self.site.stores))
        store = self.site.stores[name]
        match self.chance.randrange(7):
            case 0 | 1:
                store.set(half_writes=2)
            case 2:
                store.set(corrupt_reads=1)
            case 3:
                store.boot_id = f"boot-{self.chance.random()}"
                store.blocks.__init__()
            case 4:
                self.agents[self.agents.index(kept)] = self.agent(
                    self.agents.index(kept)
                )
            case 5:
                self.roll_out()
            case 6:
                self.site.forget()

    def roll_out(self):
        old = self.site.models["draft"].version
        new = VERSIONS[1 - VERSIONS.index(old)]
        self.site.models = {"draft": values.Model(version=new)}
        weights = self.site.engine.weights
        present = weights.models["draft"]
        weights.models["draft"] = dataclasses.replace(present, version=new)

    def go(self, operations):
        try:
            for _ in range(operations):
                self.step()
        finally:
            self.site.stop()
        return self.never


def without_waiting(condition, job):
    if not condition():
        raise exporting.Stop("late")
