"""One start of an endpoint, which all that is known of it belongs to."""

from __future__ import annotations

import collections
import dataclasses

# Between name and time of birth in the id of a start.
MARK = "@"
# A start without a known time of birth.
UNKNOWN_MS = 0
# Names whose newest start is remembered after their endpoints are gone: a
# quarter more than the 4,000 endpoints of the largest deployment.
MOST_NAMES = 5000


@dataclasses.dataclass(frozen=True)
class Start:
    """One start of an endpoint.

    Attributes
    ----------
    name
        Name under which the endpoint is registered; stays the same when it
        starts again.
    born_ms
        When it started, in milliseconds since the epoch by its own clock;
        ``UNKNOWN_MS`` where it did not say.
    """

    name: str
    born_ms: int = UNKNOWN_MS

    @property
    def id(self) -> str:
        """Text that is unique over all starts of all endpoints.

        Guard: an endpoint that starts again under its name is empty and
        has other weights.  Known by its name alone it would pass for the
        one before: prompts would go where nothing of them is held, and its
        weights would count as up to date.  Everything is remembered by
        this id, so nothing of one start is found under another.
        """
        if self.born_ms == UNKNOWN_MS and MARK not in self.name:
            return self.name
        return f"{self.name}{MARK}{self.born_ms}"


def parse(text: str) -> Start:
    """Return the start that an id names."""
    name, mark, born = text.rpartition(MARK)
    if not mark or not born.isdecimal():
        return Start(text)
    return Start(name, int(born))


class NewestStarts:
    """The newest start of each endpoint that was ever heard of.

    Not thread-safe.  Endpoints that are gone are remembered as well: an
    entry that a dead start wrote may reach the store seconds later.
    """

    def __init__(self) -> None:
        self.born_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def current(self, start: Start) -> Start | None:
        """Return the start that news is about; ``None`` if it is over.

        News without a time of birth is about the newest start: whoever
        wrote it does not know of births, which says nothing of a restart.
        """
        newest_ms = self.born_ms.get(start.name, UNKNOWN_MS)
        if start.born_ms == UNKNOWN_MS:
            return Start(start.name, newest_ms)
        if start.born_ms < newest_ms:
            return None
        self.born_ms[start.name] = start.born_ms
        self.born_ms.move_to_end(start.name)
        while len(self.born_ms) > MOST_NAMES:
            self.born_ms.popitem(last=False)
        return start
