"""Engines that fetch parts of prompts for long, and stores in trouble."""

from __future__ import annotations

import collections
import contextlib
import math
import random
import threading
import time
import typing

from tests.platform import cache_store
from tests.platform import caching_engine
from tests.platform import engine as engines
from tests.platform import system
from tests.soak import cache_faults
from tests.soak import callers
from tests.soak import isolation

from briarseam.testing import http_messages

if typing.TYPE_CHECKING:
    import collections.abc

# Engines load weights sooner than by default, so that parts of replaced ones
# are freed within a run.
VERSION_MS = 7000
BOUNDS = f"version_ms = {VERSION_MS}\n"
STORES = 3
# Transfers at a time of an engine and of a store.
ENGINE_TRANSFERS = 4
STORE_TRANSFERS = 3
# Share of slow transfers, and the shortest and longest time of each kind.
SLOW_SHARE = 0.08
SLOW_S = (1.0, 14.0)
FAST_S = (0.0, 0.03)
# Share of parts that an engine has evicted when a prompt needs them.
EVICTED_SHARE = 0.9
NOT_LATE_S = (0.0, 0.0)
EVENTS_LATE_S = (0.2, 3.0)
FREES_LATE_S = (0.5, 8.0)
DRAIN_S = 0.3
LOAD_S = 0.3
# Numbers of different first and second parts of prompts.
FIRST_PARTS = 4
PARTS = 12
CALLERS = 16


class Store(cache_store.CacheStore):
    """Store whose transfers take drawn times and wait for each other.

    Parameters
    ----------
    name
        Determines what is drawn.

    Attributes
    ----------
    is_calm
        Whether nothing is slow any more.
    """

    def __init__(self, name: str) -> None:
        super().__init__(None)
        self.random = random.Random(name)
        self.is_calm = True
        self.transfers = threading.Semaphore(STORE_TRANSFERS)
        self.events_late_s = NOT_LATE_S
        self.frees_late_s = NOT_LATE_S
        self.late_frees = 0

    def draw_s(self) -> float:
        """Return how long the next transfer takes."""
        if self.is_calm:
            return 0.0
        with self.lock:
            is_slow = self.random.random() < SLOW_SHARE
            return self.random.uniform(*(SLOW_S if is_slow else FAST_S))

    def transfer(self, seconds: float, until_ms: float) -> None:
        """Wait for a transfer before this one, and until it is complete."""
        with queued(self.transfers, until_ms, self.stopping):
            super().transfer(seconds + self.draw_s(), until_ms)

    def strike(self, trouble: cache_faults.Trouble, for_s: float) -> None:
        """Be in trouble for a while."""
        if trouble is cache_faults.Trouble.RESTARTS:
            self.restart(None, self.epoch + 1)
            return
        self.set_trouble(trouble, True)
        self.stopping.wait(for_s)
        self.set_trouble(trouble, False)
        if trouble is cache_faults.Trouble.LOSES_SAVES:
            self.tell_lost()

    def set_trouble(self, trouble: cache_faults.Trouble, is_in: bool) -> None:
        """Begin or end some trouble."""
        match trouble:
            case cache_faults.Trouble.LOSES_REMOVALS:
                self.loses_removals = is_in
            case cache_faults.Trouble.LOSES_SAVES:
                self.loses_saves = is_in
            case cache_faults.Trouble.DELAYS_EVENTS:
                self.events_late_s = EVENTS_LATE_S if is_in else NOT_LATE_S
            case cache_faults.Trouble.DELAYS_FREES:
                self.frees_late_s = FREES_LATE_S if is_in else NOT_LATE_S

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer a call, late if the store is in trouble."""
        frees = request.path[-1] == "kv-free"
        if frees and any(self.frees_late_s):
            self.late_frees += 1
            self.stopping.wait(self.random.uniform(*self.frees_late_s))
        answer = super().answer(request)
        if not frees:
            self.stopping.wait(self.random.uniform(*self.events_late_s))
        return answer


@contextlib.contextmanager
def queued(
    transfers: threading.Semaphore, until_ms: float, stopping: threading.Event
) -> collections.abc.Iterator[None]:
    """Wait for a place, but not longer than the fetch may take."""
    while not (taken := transfers.acquire(timeout=cache_store.STEP_S)):
        if cache_store.clock_ms() >= until_ms or stopping.is_set():
            break
    try:
        yield
    finally:
        if taken:
            transfers.release()


class Cache(caching_engine.PromptCache):
    """Memory of an engine that evicts parts, and fetches them in a queue."""

    def __init__(
        self, uses: caching_engine.Uses, stores: dict[str, Store], name: str
    ) -> None:
        super().__init__(uses, stores)
        self.random = random.Random(name)
        self.transfers = threading.Semaphore(ENGINE_TRANSFERS)
        self.stopping = threading.Event()

    def find(
        self, headers: typing.Mapping[str, str], part: str, source: str
    ) -> bool:
        """Return whether a part is held or fetched; record its use."""
        key = (headers.get("cache-salt", ""), part)
        with self.lock:
            if self.random.random() < EVICTED_SHARE:
                self.held.pop(key, None)
            is_held = key in self.held
        if is_held or source not in self.stores:
            return super().find(headers, part, source)
        until_ms = float(headers.get("kv-until", math.inf))
        with queued(self.transfers, until_ms, self.stopping):
            return super().find(headers, part, source)


class LoadingEngine(engines.Engine):
    """What loads an engine's weights by orders; it does not listen."""

    def __init__(
        self,
        id: str,
        born: int | None,
        version: int,
        on_loaded: typing.Callable[[str], None],
    ) -> None:
        super().__init__(id, system.MODEL, DRAIN_S, LOAD_S, born)
        self.version = version
        self.on_loaded = on_loaded

    def finish_load(self, version: int) -> None:
        """Switch to the new weights, and tell so."""
        super().finish_load(version)
        self.on_loaded(self.id)


class Engine(isolation.Engine):
    """Endpoint that loads weights by orders while it fetches parts."""

    def __init__(self, *args: typing.Any) -> None:
        super().__init__(*args)
        self.loading: LoadingEngine | None = None

    def weights(self) -> int:
        """Return the version of the engine's weights."""
        return self.loading.version

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one request."""
        if request.path in (engines.REPORT_PATH, engines.ORDER_PATH):
            return self.loading.answer(request)
        return super().answer(request)

    def stop(self) -> None:
        """Stop at once, and end what it waits for."""
        self.cache.stopping.set()
        super().stop()


class Kept(isolation.Kept):
    """What engines and stores keep, and the weights that are named.

    Parameters
    ----------
    seed
        Determines what is drawn.
    on_loaded
        Called with the name of an engine that has loaded weights.
    """

    def __init__(
        self, seed: int, on_loaded: typing.Callable[[str], None]
    ) -> None:
        stores = [Store(f"{seed}/store-{number}") for number in range(STORES)]
        super().__init__(stores)
        self.seed = seed
        self.on_loaded = on_loaded
        self.engines: list[Engine] = []

    def new_engine(self, *args: typing.Any) -> Engine:
        """Return an engine that has started with the weights of another."""
        made = Engine(*args)
        loaded = max((one.weights() for one in self.engines), default=1)
        made.kept = self
        made.loading = LoadingEngine(
            made.id, made.born, loaded, self.on_loaded
        )
        made.cache = Cache(
            self.uses, self.by_address(), f"{self.seed}/{made.id}"
        )
        self.engines.append(made)
        return made

    def set_calm(self, is_calm: bool) -> None:
        """Let fetches take drawn times from now on, or none."""
        for store in self.stores:
            store.is_calm = is_calm


class Caller(callers.Caller):
    """A caller whose prompts share two parts with those of others."""

    def request_of(
        self, sent: callers.Sent
    ) -> tuple[dict[str, str], bytes | None]:
        """Return the headers and the body of a request."""
        headers, body = super().request_of(sent)
        if sent.kind.stream:
            part = self.random.randrange(PARTS)
            first = part % FIRST_PARTS
            parts = f"a{first}:400,b{part}:300,{sent.id}:300"
            headers["Prefix-Hash"] = parts
        return headers, body


def await_freed(kept: Kept, within_s: float) -> dict[str, list[str]]:
    """Return the salts of parts that are not freed in time, by store."""
    until_s = time.monotonic() + within_s
    while (found := replaced(kept)) and time.monotonic() < until_s:
        time.sleep(cache_store.STEP_S)
    return found


def replaced(kept: Kept) -> dict[str, list[str]]:
    """Return the salts of parts of replaced weights, by store."""
    found = {}
    for store in kept.stores:
        with store.lock:
            salts = sorted({salt for salt, _part in store.held})
        old = [one for one in salts if int(one.split("/")[1]) < kept.weights]
        if old:
            found[store.address] = old
    return found
