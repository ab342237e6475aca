"""A newer configuration that peers hold and the store may have lost.

A store that returns from an older copy tells an instance that has just
started an older configuration than its peers go by.  Weight goals ride on
heartbeats anyhow.
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

# A change that peers have read already is mostly on its way here, too.
GRACE_S = 3.0
log = structlog.get_logger("briarseam.routes")


@codec.message("operators-configuration-asked")
class ConfigurationAsked(msgspec.Struct, frozen=True):
    """Ask for the configuration in force."""


@codec.message("operators-configuration-told")
class ConfigurationTold(msgspec.Struct, frozen=True):
    """Reply to ``ConfigurationAsked``.

    Attributes
    ----------
    content
        As operators wrote it; empty if there is none.
    """

    content: bytes


class Peers(typing.Protocol):
    """The other instances of the cell."""

    def query_configuration(self, name: str) -> ConfigurationTold:
        """Ask an instance for its configuration.

        Raises
        ------
        NoReplyError
            When it does not answer.
        """


class PeerConfiguration:
    """Tells peers the version in force, and fetches a newer one.

    Parameters
    ----------
    feed
        Keeps the configuration in force.
    peers
        Calls to other instances.
    clock
        Seconds.
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
        # The version that was in force when a peer's was first newer.
        self.outdated: tuple[int, float] | None = None

    def provide(self) -> bytes:
        """Return the version in force here, for heartbeats."""
        return msgspec.msgpack.encode(self.feed.version())

    def consume(self, member: str, data: bytes) -> None:
        """Take in the version in force at a peer."""
        self.versions[member] = msgspec.msgpack.decode(data, type=int)

    def answer(self, asked: ConfigurationAsked) -> ConfigurationTold:
        """Return the configuration in force."""
        del asked
        return ConfigurationTold(self.feed.content)

    def review(self) -> None:
        """Fetch a version that peers have had for some time."""
        own = self.feed.version()
        member = self.newest_at()
        if member is None or self.versions.get(member, 0) <= own:
            self.outdated = None
            return
        if self.outdated is None or self.outdated[0] != own:
            self.outdated = (own, self.clock())
        if self.clock() - self.outdated[1] >= GRACE_S:
            self.fetch(member)

    def newest_at(self) -> str | None:
        """Return a peer with the newest version; none before one is heard."""
        # Heartbeats add members meanwhile.
        versions = dict(self.versions)
        return max(versions, key=lambda name: versions[name], default=None)

    def fetch(self, member: str) -> None:
        """Take the configuration of a peer over."""
        try:
            reply = self.peers.query_configuration(member)
        except replies.NoReplyError as error:
            log.warning(
                "configuration_not_fetched", peer=member, detail=str(error)
            )
        else:
            self.feed.take_from_peer(reply.content)
            log.info("configuration_fetched", peer=member)
        # Should it have helped nothing, another peer is asked next.
        self.versions.pop(member, None)

    def keep_only(self, members: collections.abc.Collection[str]) -> None:
        """Forget the versions of instances that are gone."""
        for member in self.versions.keys() - set(members):
            self.versions.pop(member, None)
