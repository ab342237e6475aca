"""Identity of an endpoint: its name and the time of its start."""

from __future__ import annotations

import collections
import dataclasses
import time
import typing

# Separates name and start time in the id of a start.
SEPARATOR = "@"
# Start time of a start that did not report one.
UNKNOWN_MS = 0
# Names whose newest start is retained, also after their endpoints are gone:
# a quarter more than the 4,000 endpoints of the largest deployment.
MAX_NAMES = 5000
# Of a start time; that of a sound one has 13 digits.
MAX_DIGITS = 16
# Clocks of endpoints may be ahead of that of this machine, but not by more.
MAX_AHEAD_MS = 7 * 24 * 3600 * 1000
MS = 1000


@dataclasses.dataclass(frozen=True)
class Start:
    """One start of an endpoint.

    Attributes
    ----------
    name
        Name under which the endpoint is registered; unchanged by restarts.
    born_ms
        Start time in milliseconds since the epoch, by the endpoint's clock;
        ``UNKNOWN_MS`` if it did not report one.
    """

    name: str
    born_ms: int = UNKNOWN_MS

    @property
    def id(self) -> str:
        """Identifier that is unique over all starts of all endpoints.

        Guard: an endpoint that restarts under its name has an empty cache
        and may have other weights.  Identified by its name alone, it would
        be taken for its former start: prompts would be routed to it for a
        cache that is gone, and its weights would count as up to date.  All
        state of endpoints is therefore keyed by this id.
        """
        if self.born_ms == UNKNOWN_MS and SEPARATOR not in self.name:
            return self.name
        return f"{self.name}{SEPARATOR}{self.born_ms}"


def parse(text: str) -> Start:
    """Return the start that an id identifies."""
    name, separator, born = text.rpartition(SEPARATOR)
    if not separator or not born.isdecimal() or len(born) > MAX_DIGITS:
        return Start(text)
    return Start(name, int(born))


def is_plausible(born_ms: int, wall_s: float) -> bool:
    """Return whether a start time is not far in the future.

    Parameters
    ----------
    born_ms
        The start time.
    wall_s
        Seconds since the epoch.
    """
    return born_ms <= wall_s * MS + MAX_AHEAD_MS


class RecentIds:
    """Ids of starts, of which the newest are retained; not thread-safe."""

    def __init__(self) -> None:
        self.ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, start_id: str) -> bool:
        """Return whether an id was added and is still retained."""
        return start_id in self.ids

    def add(self, start_id: str) -> None:
        """Add an id; forget the oldest one if there are too many."""
        self.ids[start_id] = None
        while len(self.ids) > MAX_NAMES:
            self.ids.popitem(last=False)


class NewestStarts:
    """The newest known start of each endpoint; not thread-safe.

    Endpoints that are gone are included, since an entry that a start wrote
    before it died may reach the store seconds later.

    Parameters
    ----------
    wall_clock
        Seconds since the epoch.
    """

    def __init__(
        self, wall_clock: typing.Callable[[], float] = time.time
    ) -> None:
        self.wall_clock = wall_clock
        self.born_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def resolve(self, start: Start) -> Start | None:
        """Return the start that an update applies to.

        An update without a start time applies to the newest start: its
        writer does not report start times, so it indicates no restart.
        Returns ``None`` if a newer start is known.

        Guard: after one start time that is far in the future, all others
        would count as earlier ones.  It counts only while there is no other.
        """
        newest_ms = self.born_ms.get(start.name, UNKNOWN_MS)
        if start.born_ms == UNKNOWN_MS:
            return Start(start.name, newest_ms)
        if self.rank(start.born_ms) < self.rank(newest_ms):
            return None
        self.born_ms[start.name] = start.born_ms
        self.born_ms.move_to_end(start.name)
        while len(self.born_ms) > MAX_NAMES:
            self.born_ms.popitem(last=False)
        return start

    def rank(self, born_ms: int) -> tuple[bool, int]:
        """Return the order of a start time; plausible ones come last."""
        if born_ms == UNKNOWN_MS:
            return False, born_ms
        return is_plausible(born_ms, self.wall_clock()), born_ms
