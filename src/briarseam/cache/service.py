"""The kept cache of one agent: what to import, and what to keep."""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

from briarseam.cache import exporting
from briarseam.cache import importing
from briarseam.cache import index as indexes
from briarseam.cache import maintenance
from briarseam.cache import names as block_names
from briarseam.cache import pieces
from briarseam.cache import planning
from briarseam.cache import retention
from briarseam.cache import saving
from briarseam.cache import sharing as index_sharing
from briarseam.cache import sizes
from briarseam.cache import state
from briarseam.cache import stores as store_state
from briarseam.cache import sweeping
from briarseam.configuration import schema
from briarseam.endpoints import engine_kv
from briarseam.endpoints import store as store_client
from briarseam.wire import server

MAX_BLOCKS = 20000
REFRESH_S = 0.5


def owns_all_groups(group: bytes) -> state.Holders:
    """Own every group, since there are no other agents."""
    return state.Holders()


def full_link_share(link: str = "") -> float:
    """Use the full budget of each link, since there are no other agents."""
    return 1.0


@dataclasses.dataclass(frozen=True)
class Ports:
    """What other packages provide; the defaults are for a single agent.

    Attributes
    ----------
    holders
        Returns the agents that hold a group's index.
    call
        Sends a message to an agent and returns its reply.
    link_share
        Fraction of each store link's budget that this agent may use.
    salt
        Returns the cache salt of an organisation in engines; ``None`` for
        that of the names.
    session_hash
        Returns the hash of organisation and session, 8 bytes, by which
        ``holders`` ranks; ``None`` for that of the names.
    clock
        Monotonic seconds.
    wall_clock
        Seconds since the epoch.
    """

    holders: typing.Callable[[bytes], state.Holders] = owns_all_groups
    call: index_sharing.Call = index_sharing.unreachable
    link_share: typing.Callable[[], float] = full_link_share
    salt: typing.Callable[[str], str] | None = None
    session_hash: block_names.SessionHash | None = None
    clock: typing.Callable[[], float] = time.monotonic
    wall_clock: typing.Callable[[], float] = time.time


class KeptCache:
    """Plans and starts the transfers of KV blocks, and holds their index.

    Parameters
    ----------
    view
        Returns the current configuration.
    key
        Secret of all agents, for the names of blocks.
    metrics
        Counters.
    ports
        What other packages provide.
    max_blocks
        Maximum number of blocks in the index.
    poll_s
        Seconds between polls of a store.
    sweep_pause_s
        Minimum seconds between two passes over a store's listing.
    """

    def __init__(
        self,
        view: typing.Callable[[], schema.View],
        key: bytes,
        metrics: state.Metrics | None = None,
        ports: Ports | None = None,
        max_blocks: int = MAX_BLOCKS,
        poll_s: float = maintenance.POLL_S,
        sweep_pause_s: float = sweeping.MIN_PAUSE_S,
    ) -> None:
        self.view = view
        self.ports = ports or Ports()
        self.clock = self.ports.clock
        self.metrics = metrics or state.NoMetrics()
        self.poll_s = poll_s
        self.sweep_pause_s = sweep_pause_s
        self.names = block_names.Names(key, self.ports.session_hash)
        self.index = indexes.BlockIndex(max_blocks)
        self.returns = retention.ReturnModel()
        self.stores = store_state.Stores(
            view, self.clock, self.ports.link_share
        )
        self.sharing = index_sharing.Sharing(
            self.index,
            self.ports.holders,
            self.ports.call,
            self.clock,
            self.metrics,
        )
        self.context = exporting.CacheContext(
            index=self.index,
            names=self.names,
            sizes=sizes.Sizes(),
            sharing=self.sharing,
            stores=self.stores,
            engine=engine_kv.KvClient(),
            client=store_client.StoreClient(),
            clock=self.clock,
            metrics=self.metrics,
        )
        self.sharing.on_block_added = self.record_size
        self.stopping = threading.Event()
        self.exporters: dict[str, exporting.Exporter] = {}
        self.planner = planning.Planner(self.context, view, self.engine_salt)
        self.saver = saving.Saver(
            self.context, view, self.planner, self.returns, self.exporters
        )
        self.importer = importing.Importer(self.context, self.stopping)
        self.maintainers: dict[str, maintenance.StoreMaintainer] = {}
        self.thread = threading.Thread(
            target=self.work, name="kept-cache", daemon=True
        )

    def register(self, router: server.Router) -> None:
        """Register the handlers of other agents' messages."""
        self.sharing.register(router)

    def start(self) -> None:
        """Start maintaining the configured stores."""
        self.sharing.start()
        self.thread.start()

    def stop(self) -> None:
        """Stop the threads after their current tasks."""
        self.stopping.set()
        self.sharing.stop()

    def work(self) -> None:
        """Follow the configuration until stopped."""
        while not self.stopping.is_set():
            self.refresh()
            self.stopping.wait(REFRESH_S)

    def refresh(self) -> None:
        """Apply the configured stores; start two threads for each new one."""
        for store in self.update_stores():
            self.maintainers[store.name].thread.start()
            self.exporters[store.name].thread.start()

    def update_stores(self) -> list[store_state.Store]:
        """Apply the configured stores; return the new ones."""
        new = self.stores.refresh()
        for store in new:
            self.maintainers[store.name] = self.build_maintainer(store)
            self.exporters[store.name] = exporting.Exporter(
                store, self.context, self.stopping
            )
        return new

    def build_maintainer(
        self, store: store_state.Store
    ) -> maintenance.StoreMaintainer:
        """Return the maintainer of a store, not started."""
        return maintenance.StoreMaintainer(
            store,
            self.context,
            self.ranker,
            self.view,
            self.stopping,
            self.ports.wall_clock,
            self.poll_s,
            self.sweep_pause_s,
        )

    def ranker(self) -> retention.Ranker:
        """Return the ranker of the current policy."""
        policy = retention.Policy.VALUE
        if self.view().kept_cache.policy == "lru":
            policy = retention.Policy.LRU
        return retention.Ranker(self.returns, policy)

    def record_size(self, block: state.Block) -> None:
        """Record the size of complete blocks from another agent's export."""
        self.context.sizes.record(block.variant, block.size)

    def salt(self, organisation: str) -> str:
        """Return the cache salt of an organisation in engines."""
        derive_salt = self.ports.salt or self.names.salt
        return derive_salt(organisation)

    def engine_salt(self, organisation: str, adapter: str) -> str:
        """Return the salt of prefixes in engines."""
        return pieces.salt_of(self.salt(organisation), adapter or None)

    def plan(
        self,
        organisation: str,
        model: str,
        adapter: str,
        version: str,
        chain: typing.Sequence[bytes],
        cached_pieces: int,
        session: str = "",
    ) -> state.Plan:
        """Return what can be imported for a prompt.

        Parameters
        ----------
        organisation, model, adapter, version
            Of the request; blocks of any other never match.
        chain
            Unsalted chain digests of the prompt's complete pieces.
        cached_pieces
            Pieces that the endpoint already has.
        session
            The caller's session, may be empty.

        Returns
        -------
        Plan
            Empty if nothing is kept or the kept cache is off.  The caller
            decides whether the import saves time, see ``Plan.best``.
        """
        return self.planner.plan(
            state.Prompt(
                organisation, session, model, adapter, version, tuple(chain)
            ),
            cached_pieces,
        )

    def import_to(
        self,
        address: str,
        plan: state.Plan,
        max_s: float = maintenance.MAX_IMPORT_S,
    ) -> state.Imported:
        """Have an endpoint import a plan's blocks, and wait for the result.

        Parameters
        ----------
        address
            ``ip:port`` of the engine.
        plan
            From :meth:`plan`.
        max_s
            Maximum useful duration, in seconds.

        Returns
        -------
        Imported
            The endpoint recomputes what was not imported.
        """
        return self.importer.import_to(address, plan, max_s)

    def after_run(
        self,
        organisation: str,
        model: str,
        adapter: str,
        version: str,
        chain: typing.Sequence[bytes],
        endpoint_address: str,
        session: str = "",
    ) -> None:
        """Queue exports of the KV that a finished run left in its endpoint.

        Parameters
        ----------
        organisation, model, adapter, version
            Of the run.
        chain
            Unsalted chain digests of the prompt's complete pieces.
        endpoint_address
            ``ip:port`` of the engine.
        session
            The caller's session, may be empty.
        """
        self.saver.after_run(
            state.Prompt(
                organisation, session, model, adapter, version, tuple(chain)
            ),
            endpoint_address,
        )
