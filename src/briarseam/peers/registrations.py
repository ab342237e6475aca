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
# The one key of the topic that is no instance's.
SECRET_KEY = "wire-secret"
SECRET_BYTES = 32
RETRY_S = 0.3
# Between two attempts to agree on the secret while others write: a store
# answers in some ms.
AGREE_S = 0.05
# Instances that start at once make a secret at different times within
# this; what one has written the others follow within half a second.
SPREAD_S = 1.5
# Members notice a topic without their secret within two reviews of it.
RESTORED_S = 4.0
# A registration that may or may not have been written is written again
# until the topic shows it; later losses of it show in the same way.
REVIEW_S = 1.0
# Each member of a cell sends heartbeats to all others; see docs/CAPACITY.md.
# A larger group is cut by availability zone, since bytes between these are
# dear.
CELL_MEMBERS = 32
log = structlog.get_logger("briarseam.peers")


@dataclasses.dataclass(frozen=True)
class Registration:
    """What an instance tells of itself.

    Attributes
    ----------
    name
        Unique over all instances.
    address
        Where its peers reach it.
    group
        Instances of one group share what they know of endpoints.  That is
        a region, not an availability zone: the endpoints that they send to
        are the same.
    zone
        Its availability zone.
    weight
        The work that it can take, relative to others.
    """

    name: str
    address: str
    group: str
    zone: str
    weight: float = 1.0


class WireRegistration(msgspec.Struct, array_like=True):
    """A registration as it lies in the topic."""

    address: str
    group: str
    zone: str
    # An instance of an earlier release tells no weight.
    weight: float = 1.0


class WritableStore(records.KeyedStore, typing.Protocol):
    """A store of keyed topics that can be written."""

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write the newest record of a key."""

    def append(
        self, topic: str, items: tuple[bytes, ...], at: int | None = None
    ) -> int:
        """Append records where the topic ends at an offset."""


class Registrations:
    """The registration of this instance, and those of all others.

    A listener of the topic and the instance list of
    :class:`briarseam.membership.service.Membership`.

    Parameters
    ----------
    store, topic
        Where registrations lie.
    me
        Registration of this instance.
    tally
        Notes registrations that can't be read.
    """

    def __init__(
        self,
        store: WritableStore,
        topic: str,
        me: Registration,
        tally: malformed.Tally | None = None,
    ) -> None:
        self.tally = tally or malformed.Tally()
        self.store = store
        self.topic = topic
        self.me = me
        self.by_name: dict[str, Registration] = {}
        self.cells: dict[str, str] = {}
        # What the topic tells, and what members have agreed on.
        self.secret: bytes | None = None
        self.agreed_secret: bytes | None = None
        self.loaded = threading.Event()
        self.secret_known = threading.Event()
        self.leaving = threading.Event()
        self.thread = threading.Thread(
            target=self.keep_registered, name="register", daemon=True
        )

    def start(self) -> None:
        """Begin to keep this instance registered."""
        self.thread.start()

    def stop(self) -> None:
        """Take this instance's registration away, as far as possible."""
        self.leaving.set()
        try:
            self.store.put(self.topic, self.me.name, None)
        except records.StoreUnavailableError as error:
            # Peers notice the silence; the record costs them a look only.
            log.warning("registration_left", detail=str(error))

    def read(self) -> instances.Listing:
        """Return the registered instances, as of the last read.

        Raises
        ------
        InstanceListUnavailableError
            Before the first read of the topic.
        """
        if not self.loaded.is_set():
            raise instances.InstanceListUnavailableError(
                "the registrations were not read yet"
            )
        listed = tuple(
            instances.Instance(row.name, AGENT_ROLE, row.address, row.group)
            for row in self.by_name.values()
        )
        return instances.Listing(listed, 0)

    def zone_of(self, name: str) -> str:
        """Return an instance's availability zone, empty if unknown."""
        row = self.by_name.get(name)
        return "" if row is None else row.zone

    def weight_of(self, name: str) -> float:
        """Return the work an instance can take, relative to others."""
        row = self.by_name.get(name)
        return 1.0 if row is None else row.weight

    def cell_of(self, name: str, group: str) -> str:
        """Return the cell of an instance; its group's while not known."""
        return self.cells.get(name, group)

    def apply_all(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Take in all registrations."""
        self.secret = None
        self.keep(self.changed({}, changes))
        self.loaded.set()

    def apply_changes(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Take in changed registrations."""
        self.keep(self.changed(self.by_name, changes))

    def keep(self, rows: dict[str, Registration]) -> None:
        """Take over registrations, and the cells that follow from them."""
        self.cells = cells_of([*rows.values(), self.me])
        self.by_name = rows

    def changed(
        self,
        rows: dict[str, Registration],
        changes: collections.abc.Sequence[records.KeyedRecord],
    ) -> dict[str, Registration]:
        """Return registrations after changes; a new map.

        Membership reads the present one at any time, and must not see one
        that is half filled: instances that are missing count as gone.
        """
        found = dict(rows)
        for change in changes:
            if change.key == SECRET_KEY:
                self.secret = change.value or self.secret
                if self.secret is not None:
                    self.secret_known.set()
                continue
            # What was known is dropped first: a registration that is
            # overwritten by one that can't be read names no instance.
            found.pop(change.key, None)
            if change.value is not None:
                found.update(self.decoded(change.key, change.value))
        return found

    def decoded(self, name: str, data: bytes) -> dict[str, Registration]:
        """Return a registration by its name, nothing if it is malformed."""
        try:
            return {name: decode(name, data)}
        except malformed.MalformedError as error:
            self.tally.note(malformed.Kind.REGISTRATION, name, error)
            return {}

    def store_lost(self) -> None:
        """Go on with the registrations that are known."""

    def keep_registered(self) -> None:
        """Register until the topic shows it, and again when it is lost."""
        self.loaded.wait()
        is_missing = False
        while not self.leaving.is_set():
            if self.by_name.get(self.me.name) != self.me:
                self.register()
            # Twice: what was agreed on just now may not have been read yet.
            was_missing, is_missing = (
                is_missing,
                self.secret != self.agreed_secret,
            )
            if self.agreed_secret is not None and is_missing and was_missing:
                self.write_secret(self.agreed_secret)
            self.leaving.wait(REVIEW_S)

    def register(self) -> None:
        """Write this instance's registration once."""
        try:
            self.store.put(self.topic, self.me.name, encode(self.me))
        except records.StoreUnavailableError as error:
            log.warning("registration_failed", detail=str(error))
            return
        log.info("registered", name=self.me.name, address=self.me.address)

    def write_secret(self, secret: bytes) -> None:
        """Write the secret that members go by where the topic lacks it.

        A newcomer would make another one, and those who go by the first
        would not trust it.
        """
        try:
            self.store.put(self.topic, SECRET_KEY, secret)
        except records.StoreUnavailableError as error:
            log.warning("secret_not_written", detail=str(error))
            return
        log.warning("secret_written_again", topic=self.topic)


def cells_of(
    rows: collections.abc.Iterable[Registration],
) -> dict[str, str]:
    """Return the cell of each instance by its name."""
    groups: dict[str, set[str]] = collections.defaultdict(set)
    zones: dict[str, set[str]] = collections.defaultdict(set)
    for row in rows:
        groups[row.group].add(row.name)
        zones[f"{row.group}/{row.zone}"].add(row.name)
    found: dict[str, str] = {}
    for row in rows:
        if len(groups[row.group]) <= CELL_MEMBERS:
            found[row.name] = row.group
            continue
        zone = f"{row.group}/{row.zone}"
        # A zone of a few more stays whole: of two cells, one may have no
        # instance that is strong enough to speak for it.
        parts = max(1, round(len(zones[zone]) / CELL_MEMBERS))
        found[row.name] = cells.cell_of(row.name, zone, parts)
    return found


def encode(row: Registration) -> bytes:
    """Return an instance's registration."""
    packed: bytes = msgpack.packb(
        [row.address, row.group, row.zone, row.weight]
    )
    return packed


def decode(name: str, data: bytes) -> Registration:
    """Return the instance of a registration.

    Raises
    ------
    MalformedError
        If it does not say where the instance is reached, and its share.
    """
    with malformed.raised_as_malformed():
        wire = msgspec.msgpack.decode(data, type=WireRegistration)
        addresses.parse(wire.address)
    if not name:
        raise malformed.MalformedError("the name is empty")
    if not math.isfinite(wire.weight) or wire.weight < 0:
        raise malformed.MalformedError("the weight is no share")
    return Registration(name, wire.address, wire.group, wire.zone, wire.weight)


def wait_for_secret(
    rows: Registrations, stopping: threading.Event, first_start: bool = True
) -> None:
    """Wait a little for a secret that another instance makes, or has.

    Of hundreds of instances that start at once a few write one; else each
    would read, try to write, and read again.

    Parameters
    ----------
    rows
        The registrations.
    stopping
        Ends the wait.
    first_start
        Whether no instance has run before.  Else a topic without a secret
        was restored from an older copy, and members write it again.
    """
    while not rows.loaded.wait(RETRY_S):
        if stopping.is_set():
            return
    wait_s = random.uniform(0.0, SPREAD_S)
    if not first_start:
        wait_s += RESTORED_S
    rows.secret_known.wait(wait_s)


def agree_on_secret(
    store: WritableStore,
    topic: str,
    encode_keyed: typing.Callable[[str, bytes], bytes],
    stopping: threading.Event,
) -> bytes | None:
    """Return the secret that proves membership, made by whoever was first.

    It is written only if the topic still ends where it was read, so of all
    instances that start at once one makes it and the others read it.  That
    others may have written to the topic before does no harm.

    Parameters
    ----------
    store, topic
        Where it lies.
    encode_keyed
        Returns the record of a key and a value.
    stopping
        Ends the attempts; ``None`` is returned then.
    """
    while not stopping.is_set():
        try:
            known = store.newest(topic)
            for record in known.records:
                if record.key == SECRET_KEY and record.value:
                    return record.value
            made = encode_keyed(SECRET_KEY, secrets.token_bytes(SECRET_BYTES))
            store.append(topic, (made,), at=known.next)
        except records.SupersededError:
            # Mostly since another instance made it just now.
            stopping.wait(AGREE_S)
        except records.StoreUnavailableError as error:
            log.warning("secret_not_read", detail=str(error))
            stopping.wait(RETRY_S)
    return None
