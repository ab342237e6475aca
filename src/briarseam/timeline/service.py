"""An agent's answer to whoever asks for events."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import typing

from briarseam.timeline import event as events
from briarseam.timeline import feed as feeds
from briarseam.timeline import merge
from briarseam.timeline import messages

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.timeline import ring as rings
    from briarseam.wire import connection as connections
    from briarseam.wire import server

ENTRY_TIMEOUT_S = 1.0
OTHERS_TIMEOUT_S = 2.0
MAX_ASKERS = 16
MAX_EVENTS = 20_000
MAX_ALIASES = 64

PeerNames = typing.Callable[[], "collections.abc.Iterable[str]"]
RunOf = typing.Callable[[str], str]
AskPeer = typing.Callable[[str, messages.FetchEvents], messages.Events]


class AskPeerError(Exception):
    """A peer did not hand over its events."""


@dataclasses.dataclass(frozen=True)
class Others:
    """The other agents, wired by ``compose``.

    Attributes
    ----------
    names
        Returns the names of the other agents, of all cells.
    ask
        Returns one agent's events, raises :class:`AskPeerError`.
    """

    names: PeerNames
    ask: AskPeer


def no_run(name: str) -> str:
    """Know no answer ids."""
    del name
    return ""


class Timeline:
    """Collects events of this process, this instance, or all of them.

    Parameters
    ----------
    ring
        This agent's own events.
    entries
        The entry processes of this instance.
    others
        The other agents.
    run_of
        Returns the run that an answer id names, empty for anything else.
    """

    def __init__(
        self,
        ring: rings.Ring,
        entries: feeds.EntryFeeds,
        others: Others,
        run_of: RunOf = no_run,
    ) -> None:
        self.ring = ring
        self.entries = entries
        self.others = others
        self.run_of = run_of

    def register(self, router: server.Router) -> None:
        """Answer entries, agents and the feeds."""
        router.on(messages.FetchEvents, self.on_fetch)
        self.entries.register(router)

    def on_fetch(
        self, peer: connections.Identity, fetch: messages.FetchEvents
    ) -> messages.Events:
        """Answer a fetch as far as its scope reaches."""
        del peer
        return self.fetch(fetch)

    def fetch(self, fetch: messages.FetchEvents) -> messages.Events:
        """Return the events asked for.

        An operator may name a request by its run, by its idempotency key
        or by the id of its answer, and one part of its events knows only
        the one name, another part only the other.  So all names that the
        events found first give the request are asked for in a second round.
        """
        limit = max(1, min(fetch.limit, MAX_EVENTS))
        run = self.run_of(fetch.filter.request)
        named = dataclasses.replace(
            fetch.filter, request=run or fetch.filter.request
        )
        fetch = dataclasses.replace(fetch, filter=named, limit=limit)
        found = self.collect(fetch)
        if fetch.scope is not messages.Scope.EVERYWHERE:
            return found
        also = aliases(found, named.request)
        if not also:
            return found
        wanted = dataclasses.replace(named, also=also)
        return self.collect(dataclasses.replace(fetch, filter=wanted))

    def collect(self, fetch: messages.FetchEvents) -> messages.Events:
        """Return the events that match the filter word for word."""
        parts = [feeds.answer(self.ring, fetch)]
        match fetch.scope:
            case messages.Scope.PROCESS:
                pass
            case messages.Scope.INSTANCE:
                parts += self.entries.collect(fetch, ENTRY_TIMEOUT_S)
            case messages.Scope.EVERYWHERE:
                parts += self.everywhere(fetch)
        return merge.merge(parts, fetch.limit)

    def everywhere(self, fetch: messages.FetchEvents) -> list[messages.Events]:
        """Return the parts of this instance's entries and all others."""
        request = dataclasses.replace(fetch, scope=messages.Scope.INSTANCE)
        names = list(self.others.names())
        pool = concurrent.futures.ThreadPoolExecutor(MAX_ASKERS)
        asked = {pool.submit(self.ask, name, request): name for name in names}
        parts = self.entries.collect(fetch, ENTRY_TIMEOUT_S)
        done, late = concurrent.futures.wait(asked, OTHERS_TIMEOUT_S)
        # Half of all agents may be cut off at once; whoever asks must get
        # what the others have, and be told who is missing.
        pool.shutdown(wait=False, cancel_futures=True)
        parts += [one.result() for one in done]
        return parts + [feeds.silent(asked[one]) for one in late]

    def ask(self, name: str, request: messages.FetchEvents) -> messages.Events:
        """Return another instance's part, its absence as an error."""
        try:
            return self.others.ask(name, request)
        except AskPeerError as error:
            source = messages.Source(name, error=str(error))
            return messages.Events((), (source,))


def aliases(found: messages.Events, name: str) -> tuple[str, ...]:
    """Return the other names that events give the request ``name``."""
    if not name:
        return ()
    names = {
        str(other)
        for event in found.events
        for other in events.names_of(event)
    }
    return tuple(sorted(names - {name, ""})[:MAX_ALIASES])
