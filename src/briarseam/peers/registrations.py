"""Registrations of instances in a keyed topic of the store."""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import secrets
import threading
import typing

import msgpack
import msgspec
import structlog

from briarseam import malformed
from briarseam.backing import instances
from briarseam.feeds import records
from briarseam.membership import cells
from briarseam.settings import address as addresses

if typing.TYPE_CHECKING:
    import collections.abc

AGENT_ROLE = "agent"
# The only key of the topic that is not the name of an instance.
SECRET_KEY = "wire-secret"
SECRET_BYTES = 32
RETRY_S = 0.3
# Pause between attempts to agree on the secret while other instances write
# to the topic; the store answers within milliseconds.
AGREE_RETRY_S = 0.05
# Instances that start together create a secret at random times within this
# range; the others read it within half a second of its being written.
START_SPREAD_S = 1.5
# Members detect within two reviews that the topic lacks their secret.
RESTORE_WAIT_S = 4.0
# The registration is written again until the topic contains it, which also
# covers writes of unknown outcome and later losses.
REVIEW_S = 1.0
# Each member of a cell sends heartbeats to all others; see docs/CAPACITY.md.
# A larger group is split by availability zone, since traffic between zones
# is expensive.
CELL_MEMBERS = 32
log = structlog.get_logger("briarseam.peers")


@dataclasses.dataclass(frozen=True)
class Registration:
    """What an instance publishes about itself.

    Attributes
    ----------
    name
        Unique over all instances.
    address
        Address at which peers reach it.
    group
        Instances of a group share their state of endpoints.  A group is a
        region, not an availability zone, because all instances of a region
        send to the same endpoints.
    zone
        Its availability zone.
    weight
        Its capacity relative to other instances.
    relay_address
        Address at which it takes callers' requests from other instances;
        empty if it takes none.
    """

    name: str
    address: str
    group: str
    zone: str
    weight: float = 1.0
    relay_address: str = ""


class WireRegistration(msgspec.Struct, array_like=True):
    """A registration as encoded in the topic."""

    address: str
    group: str
    zone: str
    # Instances of earlier releases publish no weight, and no relay address.
    weight: float = 1.0
    relay_address: str = ""


class WritableStore(records.KeyedStore, typing.Protocol):
    """A store of keyed topics that accepts writes."""

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write the newest record of a key."""

    def append(
        self, topic: str, items: tuple[bytes, ...], at: int | None = None
    ) -> int:
        """Append records, only if the topic ends at the given offset."""


class Registrations:
    """The registrations of the local instance and of all others.

    Listens to the topic, and is the instance list of
    :class:`briarseam.membership.service.Membership`.

    Parameters
    ----------
    store, topic
        Where registrations are stored.
    local
        Registration of the local instance.
    malformed_counter
        Counts registrations that can't be decoded.

    Attributes
    ----------
    by_name
        Registrations by the name of their instance.
    cells
        Cells by the name of the instance.
    secret
        The secret that the topic contains.
    agreed_secret
        The secret that members use.
    """

    def __init__(
        self,
        store: WritableStore,
        topic: str,
        local: Registration,
        malformed_counter: malformed.Tally | None = None,
    ) -> None:
        self.malformed_counter = malformed_counter or malformed.Tally()
        self.store = store
        self.topic = topic
        self.local = local
        self.by_name: dict[str, Registration] = {}
        self.cells: dict[str, str] = {}
        self.secret: bytes | None = None
        self.agreed_secret: bytes | None = None
        self.loaded = threading.Event()
        self.secret_known = threading.Event()
        self.leaving = threading.Event()
        self.thread = threading.Thread(
            target=self.keep_registered, name="register", daemon=True
        )

    def start(self) -> None:
        """Start keeping the local instance registered."""
        self.thread.start()

    def stop(self) -> None:
        """Remove the local registration if the store is available."""
        self.leaving.set()
        try:
            self.store.put(self.topic, self.local.name, None)
        except records.StoreUnavailableError as error:
            # Peers detect the missing heartbeats; a stale registration
            # costs them only connection attempts.
            log.warning("registration_left", detail=str(error))

    def read(self) -> instances.Listing:
        """Return the instances registered at the last read of the topic.

        Raises
        ------
        InstanceListUnavailableError
            Before the first read of the topic.
        """
        if not self.loaded.is_set():
            raise instances.InstanceListUnavailableError(
                "the registrations have not been read yet"
            )
        listed = tuple(
            instances.Instance(row.name, AGENT_ROLE, row.address, row.group)
            for row in self.by_name.values()
        )
        return instances.Listing(listed, 0)

    def zone_of(self, name: str) -> str:
        """Return an instance's availability zone; empty if unknown."""
        row = self.by_name.get(name)
        return "" if row is None else row.zone

    def weight_of(self, name: str) -> float:
        """Return an instance's capacity relative to others."""
        row = self.by_name.get(name)
        return 1.0 if row is None else row.weight

    def relay_addresses(self) -> dict[str, str]:
        """Return the addresses for relayed requests by instance."""
        return {
            row.name: row.relay_address
            for row in list(self.by_name.values())
            if row.relay_address
        }

    def cell_of(self, name: str, group: str) -> str:
        """Return the cell of an instance; its group if unknown."""
        return self.cells.get(name, group)

    def apply_all(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Replace all registrations."""
        self.secret = None
        self.replace(self.with_changes({}, changes))
        self.loaded.set()

    def apply_changes(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Apply changed registrations."""
        self.replace(self.with_changes(self.by_name, changes))

    def replace(self, by_name: dict[str, Registration]) -> None:
        """Replace the registrations and the cells derived from them."""
        self.cells = assign_cells([*by_name.values(), self.local])
        self.by_name = by_name

    def with_changes(
        self,
        known: dict[str, Registration],
        changes: collections.abc.Sequence[records.KeyedRecord],
    ) -> dict[str, Registration]:
        """Return a copy of registrations with changes applied.

        A copy, since membership reads the current mapping at any time and
        counts an instance that is missing from it as gone.
        """
        by_name = dict(known)
        for change in changes:
            if change.key == SECRET_KEY:
                self.secret = change.value or self.secret
                if self.secret is not None:
                    self.secret_known.set()
                continue
            # Drop the old value first: an instance whose registration is
            # overwritten by a malformed one is not registered.
            by_name.pop(change.key, None)
            if change.value is not None:
                by_name.update(self.decoded(change.key, change.value))
        return by_name

    def decoded(self, name: str, data: bytes) -> dict[str, Registration]:
        """Return a registration by its name; empty if it is malformed."""
        try:
            return {name: decode(name, data)}
        except malformed.MalformedError as error:
            self.malformed_counter.note(
                malformed.Kind.REGISTRATION, name, error
            )
            return {}

    def store_lost(self) -> None:
        """Keep the known registrations while the store is unavailable."""

    def keep_registered(self) -> None:
        """Write the registration and the secret when the topic lacks them."""
        self.loaded.wait()
        is_missing = False
        while not self.leaving.is_set():
            if self.by_name.get(self.local.name) != self.local:
                self.register()
            # Requires two reviews in a row, since a secret that was just
            # agreed on may not have been read from the topic yet.
            was_missing, is_missing = (
                is_missing,
                self.secret != self.agreed_secret,
            )
            if self.agreed_secret is not None and is_missing and was_missing:
                self.restore_secret(self.agreed_secret)
            self.leaving.wait(REVIEW_S)

    def register(self) -> None:
        """Write the local registration once."""
        try:
            self.store.put(self.topic, self.local.name, encode(self.local))
        except records.StoreUnavailableError as error:
            log.warning("registration_failed", detail=str(error))
            return
        log.info(
            "registered", name=self.local.name, address=self.local.address
        )

    def restore_secret(self, secret: bytes) -> None:
        """Write the members' secret to a topic that lacks it.

        Otherwise an instance that joins creates another secret, and the
        members reject its connections.
        """
        try:
            self.store.put(self.topic, SECRET_KEY, secret)
        except records.StoreUnavailableError as error:
            log.warning("secret_not_written", detail=str(error))
            return
        log.warning("secret_written_again", topic=self.topic)


def assign_cells(
    rows: collections.abc.Iterable[Registration],
) -> dict[str, str]:
    """Return the cell of each instance by the instance's name."""
    groups: dict[str, set[str]] = collections.defaultdict(set)
    zones: dict[str, set[str]] = collections.defaultdict(set)
    for row in rows:
        groups[row.group].add(row.name)
        zones[f"{row.group}/{row.zone}"].add(row.name)
    assigned: dict[str, str] = {}
    for row in rows:
        if len(groups[row.group]) <= CELL_MEMBERS:
            assigned[row.name] = row.group
            continue
        zone = f"{row.group}/{row.zone}"
        # A zone that is only slightly larger stays a single cell: of two
        # cells, one may lack an instance with the capacity to speak for it.
        parts = max(1, round(len(zones[zone]) / CELL_MEMBERS))
        assigned[row.name] = cells.cell_of(row.name, zone, parts)
    return assigned


def encode(row: Registration) -> bytes:
    """Return the encoded registration of an instance."""
    packed: bytes = msgpack.packb(
        [row.address, row.group, row.zone, row.weight, row.relay_address]
    )
    return packed


def decode(name: str, data: bytes) -> Registration:
    """Return the decoded registration of an instance.

    Raises
    ------
    MalformedError
        If it has no valid address, weight or name.
    """
    with malformed.raised_as_malformed():
        wire = msgspec.msgpack.decode(data, type=WireRegistration)
        addresses.parse(wire.address)
        if wire.relay_address:
            addresses.parse(wire.relay_address)
    if not name:
        raise malformed.MalformedError("the name is empty")
    if not math.isfinite(wire.weight) or wire.weight < 0:
        raise malformed.MalformedError("the weight is negative or not finite")
    return Registration(
        name,
        wire.address,
        wire.group,
        wire.zone,
        wire.weight,
        wire.relay_address,
    )


def wait_for_secret(
    rows: Registrations, stopping: threading.Event, first_start: bool = True
) -> None:
    """Wait for a limited time for a secret written by another instance.

    Keeps the load on the store low when hundreds of instances start
    together: without the wait, each of them reads, tries to write, and
    reads again.

    Parameters
    ----------
    rows
        The registrations.
    stopping
        Ends the wait.
    first_start
        Whether no instance has run before.  If one has, a topic without a
        secret was restored from an older backup, and members write their
        secret again.
    """
    while not rows.loaded.wait(RETRY_S):
        if stopping.is_set():
            return
    wait_s = random.uniform(0.0, START_SPREAD_S)
    if not first_start:
        wait_s += RESTORE_WAIT_S
    rows.secret_known.wait(wait_s)


def agree_on_secret(
    store: WritableStore,
    topic: str,
    encode_keyed: typing.Callable[[str, bytes], bytes],
    stopping: threading.Event,
) -> bytes | None:
    """Return the secret that proves membership; create it if missing.

    It is written only if the topic still ends where it was read, so that
    of all instances that start together one creates it and the others read
    it.  Earlier records of other writers in the topic do not prevent this.

    Parameters
    ----------
    store, topic
        Where the secret is stored.
    encode_keyed
        Returns the record of a key and a value.
    stopping
        Ends the attempts; the result is then ``None``.
    """
    while not stopping.is_set():
        try:
            batch = store.newest(topic)
            for record in batch.records:
                if record.key == SECRET_KEY and record.value:
                    return record.value
            created = encode_keyed(
                SECRET_KEY, secrets.token_bytes(SECRET_BYTES)
            )
            store.append(topic, (created,), at=batch.next)
        except records.SupersededError:
            # Usually because another instance has just written the secret.
            stopping.wait(AGREE_RETRY_S)
        except records.StoreUnavailableError as error:
            log.warning("secret_not_read", detail=str(error))
            stopping.wait(RETRY_S)
    return None
