"""An agent's view of each store: whether it is alive, and how full it is."""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

from briarseam.cache import links
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import store as store_client

MAX_FAILED_POLLS = 2
MAX_EXPORT_FILL = 0.98
log = structlog.get_logger("briarseam.cache")


@dataclasses.dataclass
class Store:
    """One store instance.

    Attributes
    ----------
    name, address, zone
        From the configuration.
    link
        Link to the store.
    boot_id
        Its current boot; empty until it has first answered.
    alive
        Whether it answers.
    failed_polls
        Consecutive polls that failed.
    used, capacity
        Bytes, from its last answer plus later exports.
    min_value
        Retention value of the group that was last freed to make room.
    """

    name: str
    address: str
    zone: str
    link: links.Link
    boot_id: str = ""
    alive: bool = False
    failed_polls: int = 0
    used: int = 0
    capacity: int = 0
    min_value: float = 0.0

    def has_room(self, size: int) -> bool:
        """Return whether a block fits."""
        return self.used + size <= self.capacity * MAX_EXPORT_FILL

    def fullness(self) -> float:
        """Return the fraction of the capacity in use."""
        return self.used / self.capacity if self.capacity else 1.0


class Stores:
    """The configured stores.

    Parameters
    ----------
    view
        Returns the current configuration.
    clock
        Monotonic seconds.
    link_share
        Fraction of each link's budget that this agent may use.
    """

    def __init__(
        self,
        view: typing.Callable[[], schema.View],
        clock: typing.Callable[[], float],
        link_share: typing.Callable[[], float],
    ) -> None:
        self.view = view
        self.clock = clock
        self.link_share = link_share
        self.lock = threading.Lock()
        self.by_name: dict[str, Store] = {}

    def refresh(self) -> list[Store]:
        """Apply the configuration; return the stores that are new."""
        share = self.link_share()
        new = []
        with self.lock:
            configured = {
                name: endpoint
                for name, endpoint in self.view().endpoints.items()
                if endpoint.kind is values.EndpointKind.STORE
            }
            for name in set(self.by_name) - set(configured):
                del self.by_name[name]
            for name, endpoint in configured.items():
                store = self.by_name.get(name)
                if store is None or store.address != endpoint.address:
                    link = links.Link(self.clock)
                    store = Store(name, endpoint.address, endpoint.zone, link)
                    self.by_name[name] = store
                    new.append(store)
                store.link.configure(endpoint.link_bytes_per_s * share)
        return new

    def get(self, name: str) -> Store | None:
        """Return a store by name, ``None`` if it isn't configured."""
        return self.by_name.get(name)

    def is_current(self, store: Store) -> bool:
        """Return whether this store is still configured."""
        return self.by_name.get(store.name) is store

    def readable(self, name: str, boot_id: str) -> bool:
        """Return whether blocks of this boot of a store can be read."""
        store = self.by_name.get(name)
        return store is not None and store.alive and store.boot_id == boot_id

    def writable(self) -> list[Store]:
        """Return the stores that accept blocks."""
        endpoints = self.view().endpoints
        serving = values.EndpointState.SERVING
        return [
            store
            for store in list(self.by_name.values())
            if store.alive
            and store.name in endpoints
            and endpoints[store.name].state is serving
        ]

    def apply_state(
        self, store: Store, state: store_client.StoreState
    ) -> bool:
        """Apply a store's state; return whether it has rebooted."""
        rebooted = store.boot_id != state.boot_id
        if rebooted and store.boot_id:
            log.warning("store_rebooted", store=store.name)
        if not store.alive:
            log.info("store_available", store=store.name)
        store.boot_id = state.boot_id
        store.used = state.used
        store.capacity = state.capacity
        store.failed_polls = 0
        store.alive = True
        return rebooted

    def record_failure(
        self, store: Store, detail: str, at_once: bool = False
    ) -> None:
        """Record that a store did not answer.

        Parameters
        ----------
        store
            The store.
        detail
            Reason, for the log.
        at_once
            Stop using the store until it answers, since an engine could not
        reach it.
        """
        store.failed_polls += 1
        unavailable = at_once or store.failed_polls >= MAX_FAILED_POLLS
        if unavailable and store.alive:
            store.alive = False
            log.warning("store_unavailable", store=store.name, detail=detail)
