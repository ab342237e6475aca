"""Fetches a newer configuration from peers when the store has lost it.

A store restored from an older copy gives a newly started instance an older
configuration than its peers have in force.  Weight goals need no such fetch:
heartbeats carry them.
"""

from __future__ import annotations

import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam.wire import codec
from briarseam.wire import replies

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.routes import following

# A change that peers have read usually arrives from the store within this
# time.
FETCH_DELAY_S = 3.0
log = structlog.get_logger("briarseam.routes")


@codec.message("operators-configuration-asked")
class ConfigurationAsked(msgspec.Struct, frozen=True):
    """Query for the configuration in force."""


@codec.message("operators-configuration-told")
class ConfigurationTold(msgspec.Struct, frozen=True):
    """Reply to ``ConfigurationAsked``.

    Attributes
    ----------
    content
        The operators' document; empty if there is none.
    evacuated
        The evacuated availability zones.
    """

    content: bytes
    evacuated: tuple[str, ...] = ()


class Peers(typing.Protocol):
    """The other instances of the cell."""

    def query_configuration(self, name: str) -> ConfigurationTold:
        """Query an instance for its configuration.

        Raises
        ------
        NoReplyError
            When the instance does not answer.
        """


class PeerConfiguration:
    """Publishes the version in force to peers and fetches a newer one.

    Parameters
    ----------
    feed
        Keeps the configuration in force.
    peers
        Calls to other instances.
    clock
        Returns the time in seconds.
    """

    def __init__(
        self,
        feed: following.OperatorFeed,
        peers: Peers,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.feed = feed
        self.peers = peers
        self.clock = clock
        self.versions: dict[str, int] = {}
        # The local version when a peer first had a newer one, and the time
        # of that.
        self.outdated: tuple[int, float] | None = None

    def provide(self) -> bytes:
        """Return the local version in force, for heartbeats."""
        return msgspec.msgpack.encode(self.feed.version())

    def consume(self, member: str, data: bytes) -> None:
        """Apply a peer's version in force."""
        self.versions[member] = msgspec.msgpack.decode(data, type=int)

    def answer(self, query: ConfigurationAsked) -> ConfigurationTold:
        """Return the configuration in force."""
        del query
        return ConfigurationTold(
            self.feed.content, tuple(self.feed.evacuations.zones)
        )

    def review(self) -> None:
        """Fetch a version that peers have had for ``FETCH_DELAY_S``."""
        own = self.feed.version()
        member = self.newest_peer()
        if member is None or self.versions.get(member, 0) <= own:
            self.outdated = None
            return
        if self.outdated is None or self.outdated[0] != own:
            self.outdated = (own, self.clock())
        if self.clock() - self.outdated[1] >= FETCH_DELAY_S:
            self.fetch(member)

    def newest_peer(self) -> str | None:
        """Return a peer with the newest version; ``None`` if unknown."""
        # Copied because heartbeats add members concurrently.
        versions = dict(self.versions)
        return max(versions, key=lambda name: versions[name], default=None)

    def fetch(self, member: str) -> None:
        """Fetch and apply the configuration of a peer."""
        try:
            reply = self.peers.query_configuration(member)
        except replies.NoReplyError as error:
            log.warning(
                "configuration_not_fetched", peer=member, detail=str(error)
            )
        else:
            self.feed.apply_peer_configuration(reply.content, reply.evacuated)
            log.info("configuration_fetched", peer=member)
        # If the local version is still older, the next review queries
        # another peer.
        self.versions.pop(member, None)

    def keep_only(self, members: collections.abc.Collection[str]) -> None:
        """Remove the versions of instances that are gone."""
        for member in self.versions.keys() - set(members):
            self.versions.pop(member, None)
