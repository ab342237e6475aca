"""Engines that cache parts of prompts and remember who computed them."""

from __future__ import annotations

import dataclasses
import math
import threading
import time
import typing

from briarseam.testing import http_messages
from tests.platform import cache_store
from tests.platform import worker as workers

Key = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Made:
    """A cached part: whose request computed it, and on which weights."""

    organisation: str
    version: str


@dataclasses.dataclass(frozen=True)
class Use:
    """A request that runs on a part which was computed before.

    Attributes
    ----------
    at_s
        When it began to run, monotonic seconds.
    request, organisation
        The request and its organisation.
    version
        Weight version that it runs on.
    part, salt
        The part.
    made
        What is known of the part.
    store
        Store that it was fetched from; empty for the engine's own memory.
    """

    at_s: float
    request: str
    organisation: str
    version: str
    part: str
    salt: str
    made: Made
    store: str = ""


class Uses:
    """What the requests at all engines ran on; thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.used: list[Use] = []
        self.runs: list[tuple[float, str, str]] = []

    def note_run(self, request: str, organisation: str) -> None:
        """Record that a request runs."""
        with self.lock:
            self.runs.append((time.monotonic(), request, organisation))

    def note(self, use: Use) -> None:
        """Record that a request runs on a part."""
        with self.lock:
            self.used.append(use)

    def of(self, request: str) -> list[Use]:
        """Return the parts that a request ran on."""
        with self.lock:
            return [use for use in self.used if use.request == request]


class Isolation:
    """Which organisations the operators have isolated, and when."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.since: list[tuple[float, frozenset[str]]] = []

    def record(self, isolated: typing.Iterable[str]) -> None:
        """Record that the store has taken a configuration."""
        with self.lock:
            self.since.append((time.monotonic(), frozenset(isolated)))

    def isolated_at(self, at_s: float, apply_s: float) -> frozenset[str]:
        """Return who is isolated by all configurations that may be in force.

        Parameters
        ----------
        at_s
            The time, monotonic seconds.
        apply_s
            Time within which instances apply a change, in seconds.
        """
        with self.lock:
            known = list(self.since)
        possible: frozenset[str] | None = None
        for begin_s, isolated in reversed(known):
            if begin_s > at_s:
                continue
            possible = isolated if possible is None else possible & isolated
            if begin_s <= at_s - apply_s:
                return possible
        # Before the first change was applied, nobody had to be.
        return frozenset()

    def crossings(self, uses: Uses, apply_s: float) -> list[Use]:
        """Return the uses of a part across the wall of an organisation."""
        with uses.lock:
            used = list(uses.used)
        return [
            use
            for use in used
            if use.organisation != use.made.organisation
            and {use.organisation, use.made.organisation}
            & self.isolated_at(use.at_s, apply_s)
        ]


def foreign_weights(uses: Uses) -> list[Use]:
    """Return the uses of a part that other weights have computed."""
    with uses.lock:
        used = list(uses.used)
    return [use for use in used if use.version != use.made.version]


class PromptCache:
    """The parts that one engine holds; thread-safe.

    Parameters
    ----------
    uses
        Gets what requests ran on.
    stores
        Stores of parts by address.
    """

    def __init__(
        self,
        uses: Uses,
        stores: typing.Mapping[str, cache_store.CacheStore],
    ) -> None:
        self.uses = uses
        self.stores = stores
        self.lock = threading.Lock()
        self.held: dict[Key, Made] = {}

    def clear(self) -> None:
        """Forget all parts, as an engine that starts again."""
        with self.lock:
            self.held = {}

    def run(self, request: http_messages.Request) -> None:
        """Read a request's prompt, on the parts that are there."""
        headers = request.headers
        if not headers.get("prefix-hash"):
            return
        call = headers.get("request-id", "")
        organisation = headers.get("tenant", "")
        self.uses.note_run(call, organisation)
        parts = headers["prefix-hash"].split(",")
        fetch = addresses(headers.get("kv-fetch", ""), len(parts))
        save = addresses(headers.get("kv-save", ""), len(parts))
        contiguous = True
        for text, source, target in zip(parts, fetch, save, strict=True):
            part, _, tokens = text.partition(":")
            contiguous = contiguous and self.find(headers, part, source)
            if not contiguous:
                self.compute(headers, part)
            self.store(headers, part, int(tokens), target)

    def find(
        self, headers: typing.Mapping[str, str], part: str, source: str
    ) -> bool:
        """Return whether a part is held or fetched; record its use."""
        key = (headers.get("cache-salt", ""), part)
        with self.lock:
            made = self.held.get(key)
        used_store = ""
        if made is None and source in self.stores:
            until_ms = float(headers.get("kv-until", math.inf))
            maker = self.stores[source].fetch(*key, until_ms)
            if maker is None:
                return False
            organisation, _, version = maker.rpartition("@")
            made = Made(organisation, version)
            used_store = source
            with self.lock:
                self.held[key] = made
        if made is None:
            return False
        self.uses.note(
            Use(
                time.monotonic(),
                headers.get("request-id", ""),
                headers.get("tenant", ""),
                headers.get("expect-version", ""),
                part,
                key[0],
                made,
                used_store,
            )
        )
        return True

    def compute(self, headers: typing.Mapping[str, str], part: str) -> None:
        """Hold a part that a request has computed."""
        made = Made(
            headers.get("tenant", ""), headers.get("expect-version", "")
        )
        with self.lock:
            self.held[headers.get("cache-salt", ""), part] = made

    def store(
        self,
        headers: typing.Mapping[str, str],
        part: str,
        tokens: int,
        target: str,
    ) -> None:
        """Save a part to a store, with who computed it."""
        if target not in self.stores:
            return
        salt = headers.get("cache-salt", "")
        with self.lock:
            made = self.held.get((salt, part))
        if made is None:
            # Evicted meanwhile.
            return
        maker = f"{made.organisation}@{made.version}"
        self.stores[target].put(salt, part, tokens, maker)


def addresses(header: str, count: int) -> list[str]:
    """Return the store of each part in a header; empty for none."""
    rows = [row.partition("/")[0] for row in header.split(",")]
    if len(rows) == 1:
        rows *= count
    return ["" if row == "-" else row for row in rows]


class CachingEngine(workers.Worker):
    """Engine that caches the parts of prompts under their salt.

    Parameters
    ----------
    id
        Name of the engine.
    cache
        What it holds.
    """

    def __init__(self, id: str, cache: PromptCache) -> None:
        super().__init__(id)
        self.cache = cache

    def run(
        self,
        request: http_messages.Request,
        call: str,
        echo: workers.Headers,
    ) -> http_messages.Response:
        """Run a request on what is cached of its prompt."""
        self.cache.run(request)
        return super().run(request, call, echo)
