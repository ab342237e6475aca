"""What an agent knows of each store: whether it lives, and how full it is."""

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
        As configured.
    link
        The link to it.
    boot_id
        Its present boot; empty until it has answered once.
    alive
        Whether it answered lately.
    used, capacity
        Bytes, by its last answer and what was exported since.
    bar
        What the last group freed for want of room was worth.
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
        """Tell whether a block would fit."""
        return self.used + size <= self.capacity * MAX_EXPORT_FILL

    def fullness(self) -> float:
        """Return the part of the capacity in use."""
        return self.used / self.capacity if self.capacity else 1.0


class Stores:
    """The stores that the configuration names.

    Parameters
    ----------
    view
        Gives the present configuration.
    clock
        Monotonic seconds.
    link_share
        Part of each link's budget that this agent may use.
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
        """Take over the configuration; return the stores that are new."""
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
        """Return the store of a name, if it is configured."""
        return self.by_name.get(name)

    def is_current(self, store: Store) -> bool:
        """Tell whether the configuration still names this store."""
        return self.by_name.get(store.name) is store

    def readable(self, name: str, boot_id: str) -> bool:
        """Tell whether blocks of this boot of a store can be read."""
        store = self.by_name.get(name)
        return store is not None and store.alive and store.boot_id == boot_id

    def writable(self) -> list[Store]:
        """Return the stores that take blocks."""
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
        """Take in a store's state; tell whether it has booted anew."""
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
        """Note that a store did not answer.

        Parameters
        ----------
        store
            The store.
        detail
            For the log.
        at_once
            An engine could not reach it: use it no more until it answers.
        """
        store.failed_polls += 1
        unavailable = at_once or store.failed_polls >= MAX_FAILED_POLLS
        if unavailable and store.alive:
            store.alive = False
            log.warning("store_unavailable", store=store.name, detail=detail)
