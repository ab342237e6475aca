"""Stand-in for a store of KV cache of the users' platform."""

from __future__ import annotations

import collections
import json
import math
import threading
import time

from briarseam.testing import http_messages
from briarseam.testing import stand_in
from briarseam.testing import switches

MODEL = "drafts"
MS = 1000.0
# The clock of endpoints and stores is not that of instances.
CLOCK_AHEAD_MS = 7_000_000.0
STEP_S = 0.02


def clock_ms() -> float:
    """Return what the clock of all endpoints and stores shows."""
    return time.time() * MS + CLOCK_AHEAD_MS


class CacheStore(stand_in.StandIn[switches.Switches]):
    """Store that holds parts in memory until it restarts.

    Parameters
    ----------
    born
        Start time as Unix time in milliseconds; ``None`` for a store that
        does not report it.
    epoch
        Epoch of this start.
    """

    def __init__(self, born: int | None, epoch: int = 1) -> None:
        super().__init__(switches.Switches())
        self.born = born
        self.epoch = epoch
        self.events: list[tuple[int, str, str, str, int, str]] = []
        self.held: dict[tuple[str, str], int] = {}
        # Organisation whose request computed each part.
        self.makers: dict[tuple[str, str], str] = {}
        # Parts that were freed on request.
        self.freed: list[tuple[str, str]] = []
        # Number of times that each part was freed, whether there or not.
        self.free_calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        # How long a fetch takes, in seconds.
        self.fetch_s = 0.0
        # Whether no removal, or no save, is told.
        self.loses_removals = False
        self.loses_saves = False
        # Readers of fewer events are told that they have lost some.
        self.complete_from = 0
        # Fetches in progress, by part, and those that took what was freed.
        self.fetching: list[tuple[str, str]] = []
        self.broken: list[tuple[str, str]] = []
        # Durations of complete fetches in seconds, and the number of those
        # that their engine discarded and that a restart broke off.
        self.fetched_s: list[float] = []
        self.discarded = 0
        self.broken_off = 0
        self.lock = threading.Lock()

    def restart(self, born: int | None, epoch: int) -> None:
        """Restart at the same address, empty."""
        with self.lock:
            self.born = born
            self.epoch = epoch
            self.events = []
            self.complete_from = 0
            self.held = {}
            self.makers = {}

    def put(self, salt: str, part: str, tokens: int, maker: str = "") -> None:
        """Store a complete part; one that is there stays as it was made."""
        with self.lock:
            if (salt, part) in self.held:
                return
            self.held[salt, part] = tokens
            self.makers[salt, part] = maker
            number = len(self.events)
            if not self.loses_saves:
                self.events.append((number, "+", salt, part, tokens, MODEL))

    def tell_lost(self) -> None:
        """Tell all readers that they have lost events."""
        with self.lock:
            number = len(self.events)
            # Only a later event shows them that something happened.
            self.events.append((number, "-", "", "", 0, MODEL))
            self.complete_from = number + 1

    def fetch(
        self, salt: str, part: str, until_ms: float = math.inf
    ) -> str | None:
        """Return who made a part; ``None`` if it is not there in time.

        A part that is freed before the end was taken from memory that is
        not there any more.  The engine doesn't notice.
        """
        key = (salt, part)
        with self.lock:
            maker = self.makers.get(key)
            if maker is None:
                return None
            self.fetching.append(key)
            epoch, frees = self.epoch, self.freed.count(key)
        begun_s = time.monotonic()
        self.transfer(self.fetch_s, until_ms)
        with self.lock:
            self.fetching.remove(key)
            if clock_ms() >= until_ms:
                self.discarded += 1
                return None
            if self.epoch != epoch:
                self.broken_off += 1
                return None
            self.fetched_s.append(time.monotonic() - begun_s)
            if self.freed.count(key) > frees:
                self.broken.append(key)
        return maker

    def transfer(self, seconds: float, until_ms: float) -> None:
        """Wait until a part is transferred, or its time is over."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s and clock_ms() < until_ms:
            if self.stopping.wait(STEP_S):
                return

    def free(self, body: dict) -> http_messages.Response:
        """Drop parts, unless the caller means a former start."""
        if body.get("epoch", self.epoch) != self.epoch:
            return http_messages.json_response(409, {})
        if body.get("until_ms", math.inf) <= clock_ms():
            return http_messages.json_response(409, {})
        for salt, part in body["parts"]:
            self.free_calls[salt, part] += 1
            tokens = self.held.pop((salt, part), None)
            self.makers.pop((salt, part), None)
            if tokens is not None:
                self.freed.append((salt, part))
            if tokens is not None and not self.loses_removals:
                number = len(self.events)
                self.events.append((number, "-", salt, part, 0, MODEL))
        return http_messages.json_response(200, {})

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer a request for events or for the list of parts."""
        with self.lock:
            content: dict[str, object] = {
                "epoch": self.epoch,
                "next": len(self.events),
                "clock_ms": clock_ms(),
            }
            if self.born is not None:
                content["born"] = self.born
            match request.path:
                case ("briarseam", "kv-events"):
                    since = request.number("since", 0)
                    lost = since < self.complete_from
                    told = [] if lost else self.events[since:]
                    content |= {"lost": lost, "events": told}
                case ("briarseam", "kv-list"):
                    content["held"] = [
                        (*key, tokens, MODEL)
                        for key, tokens in self.held.items()
                    ]
                case ("briarseam", "kv-free"):
                    return self.free(json.loads(request.body))
                case _:
                    return stand_in.no_such_call(request)
        return http_messages.json_response(200, content)
