"""Decides which organisations use each other's cached parts of prompts.

An isolated organisation has parts of its own.  All others share theirs, under
a name that depends on who is kept out.  So the name alone says that no
organisation that is isolated now has computed a shared part.  This needs no
memory of what was sent before, and an instance that has not read a change yet
adds nothing to what the others share.

An organisation that was isolated and is so no longer stays on its own parts.
If it wrote shared ones, isolating it again would have to make all of these
unreachable; if the others' name changed back, what they have cached would be
lost.  Instances tell each other of such organisations, since a process that
has just started can't know them from the configuration.
"""

from __future__ import annotations

import dataclasses
import hashlib
import threading
import typing

import msgspec
import structlog

from briarseam.placement import salts

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.routes import model as routes

DIGEST_BYTES = 8
# Formerly isolated organisations that are remembered.  If there are more, all
# of them share again, which costs the others what they have cached.
MAX_FORMER = 100
# Names in one heartbeat, some 20 bytes each.  Peers know who is isolated from
# the configuration as well; only the former ones must all be told.
MAX_PUBLISHED = 200
NOBODY: frozenset[str] = frozenset()
log = structlog.get_logger("briarseam.placement")


@dataclasses.dataclass(frozen=True)
class Division:
    """Who uses whose cached parts.

    Attributes
    ----------
    isolated
        Names of the organisations that are isolated.
    former
        Names of those that were isolated, and aren't any more.
    configuration
        Version of the configuration that says so.
    separate
        Names of the organisations that have parts of their own: all of these.
    group
        The group of those that share.
    """

    isolated: frozenset[str]
    former: frozenset[str]
    configuration: int
    separate: frozenset[str]
    group: salts.Group


def divide(
    isolated: frozenset[str], former: frozenset[str], configuration: int
) -> Division:
    """Return the division that keeps organisations separate."""
    separate = isolated | former
    return Division(
        isolated, former, configuration, separate, group_without(separate)
    )


def is_never_outdated() -> bool:
    """Return that the configuration is up to date; the default."""
    return False


class CacheSharing:
    """Names the parts that a request may use; thread-safe.

    Parameters
    ----------
    is_outdated
        Returns whether the configuration may have changed a while ago.
        Nothing is shared meanwhile.

    Attributes
    ----------
    division
        Who uses whose parts now.
    """

    def __init__(
        self, is_outdated: typing.Callable[[], bool] = is_never_outdated
    ) -> None:
        self.is_outdated = is_outdated
        self.lock = threading.Lock()
        self.division = divide(NOBODY, NOBODY, 0)

    def apply(self, configuration: routes.Configuration) -> None:
        """Apply a configuration before it takes effect."""
        with self.lock:
            former = self.division.separate - configuration.isolated
            if len(former) > MAX_FORMER:
                log.warning("cache_sharing_resumed", organisations=len(former))
                former = NOBODY
            self.replace(
                divide(configuration.isolated, former, configuration.version)
            )

    def replace(self, division: Division) -> None:
        """Put a division in force; requires the lock."""
        changed = division.separate != self.division.separate
        self.division = division
        if changed:
            log.info(
                "cache_sharing_changed",
                configuration=division.configuration,
                group=str(division.group),
                isolated=sorted(division.isolated),
                formerly_isolated=sorted(division.former),
            )

    def own_name(self, organisation: str) -> str:
        """Return an organisation's name if it has parts of its own.

        Otherwise an empty text.
        """
        return organisation if organisation in self.division.separate else ""

    def scope_of(self, organisation: str | None) -> salts.Scope:
        """Return who uses the parts of an organisation's prompts.

        Parameters
        ----------
        organisation
            Its name; ``None`` for callers without a key.
        """
        division = self.division
        if organisation in division.separate or self.is_outdated():
            return salts.Own(organisation)
        return division.group

    def provide(self) -> bytes:
        """Return the names of separate organisations, for heartbeats."""
        division = self.division
        names = [*sorted(division.former), *sorted(division.isolated)]
        return msgspec.msgpack.encode(names[:MAX_PUBLISHED])

    def consume(self, member: str, data: bytes) -> None:
        """Keep the organisations separate that a peer keeps separate."""
        del member
        self.keep_separate(msgspec.msgpack.decode(data, type=frozenset[str]))

    def apply_named(self, configuration: routes.Configuration) -> None:
        """Keep those separate whom the store names as isolated.

        A store that was restored from a backup may name an older
        configuration than the one in force, by which others start.
        """
        self.keep_separate(configuration.isolated)

    def keep_separate(self, names: frozenset[str]) -> None:
        """Keep organisations separate that are not isolated here."""
        with self.lock:
            division = self.division
            former = division.former | (names - division.isolated)
            if former != division.former and len(former) <= MAX_FORMER:
                self.replace(
                    divide(division.isolated, former, division.configuration)
                )


def is_superseded(scope: salts.Scope, isolated: frozenset[str]) -> bool:
    """Return whether a group is one that no request can have any more.

    All instances keep out the organisations that the store names as isolated,
    so none has a group that keeps out fewer.  Those that were isolated
    formerly don't count, nor does a configuration in force that the store has
    lost: an instance that has started may not know them.

    Parameters
    ----------
    scope
        The group; an organisation's own parts are never superseded.
    isolated
        Names of the organisations that the store names as isolated.
    """
    if isinstance(scope, salts.Own):
        return False
    return scope.excluded < len(isolated)


def group_without(
    names: collections.abc.Collection[str],
) -> salts.Group:
    """Return the group of all organisations but these.

    It is the same at all instances, in whichever order they have the names.
    """
    if not names:
        return salts.EVERYBODY
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(names):
        encoded = name.encode("utf-8", "surrogatepass")
        hashed.update(len(encoded).to_bytes(4, "big"))
        hashed.update(encoded)
    return salts.Group(len(names), hashed.hexdigest())
