from __future__ import annotations

import dataclasses
import hashlib

import pytest

from briarseam.cache import state as cache
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.orders import state as orders
from briarseam.routing import active_runs
from briarseam.routing import loads
from briarseam.routing import service
from briarseam.routing import state


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class FakeKeptCache:
    """A kept cache that is empty, or offers one plan."""

    def __init__(self):
        self.offered = cache.Plan()

    def plan(self, *args, **kwargs):
        return self.offered

    def engine_salt(self, organisation, adapter):
        return organisation

    def import_to(self, address, plan, max_s):
        return cache.Imported(pieces=len(plan.blocks))


@dataclasses.dataclass
class Bench:
    """A chooser with fake engines."""

    view: schema.View
    clock: Clock
    kept: FakeKeptCache
    loads: loads.Loads
    chooser: service.Chooser
    leaving: set

    def report(self, endpoint, busy, slots=4, age_s=0.0, boot="b"):
        self.loads.known[endpoint] = loads.Load(
            busy, slots, 100, self.clock.now - age_s, boot, True
        )


def prompt_query(session="s", pieces=4, **changes):
    digest = hashlib.blake2b(session.encode(), digest_size=16).digest()
    chain = tuple(digest[:-1] + bytes([number]) for number in range(pieces))
    fields = {
        "organisation": "north",
        "session": session,
        "model": "draft",
        "chain": chain,
        "prompt_tokens": pieces * 1000,
    }
    return state.PromptQuery(**{**fields, **changes})


@pytest.fixture
def bench():
    engines = {
        f"engine-{number}": values.Endpoint(
            kind=values.EndpointKind.ENGINE,
            address=f"127.0.0.1:{number}",
            zone="a",
            models=("draft",),
        )
        for number in range(4)
    }
    view = schema.View(endpoints=engines, models={"draft": values.Model("v1")})
    clock = Clock()
    own_runs = active_runs.ActiveRuns()
    known = loads.Loads(
        lambda: view, "local", lambda: ["local"], own_runs.counts, clock
    )
    kept = FakeKeptCache()
    leaving = set()
    parts = service.ChooserParts(
        view=lambda: view,
        leaving=lambda: frozenset(leaving),
        offers=lambda model, session: (orders.Offer("v1", ""),),
        serves=lambda endpoint, model, offer: True,
        kept=kept,
        loads=known,
        own_runs=own_runs,
        clock=clock,
    )
    return Bench(view, clock, kept, known, service.Chooser(parts), leaving)
