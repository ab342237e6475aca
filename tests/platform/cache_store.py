"""Stand-in for a store of KV cache of the users' platform."""

from __future__ import annotations

import json
import threading

from briarseam.testing import http_messages
from briarseam.testing import stand_in
from briarseam.testing import switches

MODEL = "drafts"


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
        self.lock = threading.Lock()

    def restart(self, born: int | None, epoch: int) -> None:
        """Restart at the same address, empty."""
        with self.lock:
            self.born = born
            self.epoch = epoch
            self.events = []
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
            self.events.append((number, "+", salt, part, tokens, MODEL))

    def fetch(self, salt: str, part: str) -> str | None:
        """Return who made a part; ``None`` if it is not there."""
        with self.lock:
            return self.makers.get((salt, part))

    def free(self, body: dict) -> http_messages.Response:
        """Drop parts, unless the caller means a former start."""
        if body.get("epoch", self.epoch) != self.epoch:
            return http_messages.json_response(409, {})
        for salt, part in body["parts"]:
            tokens = self.held.pop((salt, part), None)
            self.makers.pop((salt, part), None)
            if tokens is not None:
                self.freed.append((salt, part))
                number = len(self.events)
                self.events.append((number, "-", salt, part, 0, MODEL))
        return http_messages.json_response(200, {})

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer a request for events or for the list of parts."""
        with self.lock:
            content: dict[str, object] = {
                "epoch": self.epoch,
                "next": len(self.events),
            }
            if self.born is not None:
                content["born"] = self.born
            match request.path:
                case ("briarseam", "kv-events"):
                    since = request.number("since", 0)
                    content |= {"lost": False, "events": self.events[since:]}
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
