"""Stand-in for a store of KV cache of the users' platform."""

from __future__ import annotations

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
        self.lock = threading.Lock()

    def restart(self, born: int | None, epoch: int) -> None:
        """Restart at the same address, empty."""
        with self.lock:
            self.born = born
            self.epoch = epoch
            self.events = []
            self.held = {}

    def put(self, salt: str, part: str, tokens: int) -> None:
        """Store a complete part."""
        with self.lock:
            self.held[salt, part] = tokens
            number = len(self.events)
            self.events.append((number, "+", salt, part, tokens, MODEL))

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
                case _:
                    return stand_in.no_such_call(request)
        return http_messages.json_response(200, content)
