"""The kept cache of one agent: what to import, and what to keep."""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

from briarseam.cache import exporting
from briarseam.cache import importing
from briarseam.cache import index as indexes
from briarseam.cache import keeping
from briarseam.cache import names as block_names
from briarseam.cache import pieces
from briarseam.cache import retention
from briarseam.cache import sharing as index_sharing
from briarseam.cache import sizes
from briarseam.cache import state
from briarseam.cache import stores as store_state
from briarseam.configuration import schema
from briarseam.endpoints import engine_kv
from briarseam.endpoints import store as store_client
from briarseam.wire import server

MAX_BLOCKS = 20000
REFRESH_S = 0.5


def alone(group: bytes) -> state.Holders:
    """Own every group: there are no other agents."""
    return state.Holders()


def whole(link: str = "") -> float:
    """Use the whole of each link: there are no other agents."""
    return 1.0


@dataclasses.dataclass(frozen=True)
class Ports:
    """What the service is given of other slices; the defaults are alone.

    Attributes
    ----------
    holders
        Which agents keep a group's index.
    call
        Sends a message to an agent and returns its reply.
    link_share
        Part of each store link's budget that this agent may use.
    session_hash
        Hash of organisation and session by which ``holders`` ranks, 8
        bytes; ``None`` for one of the names' own.
    clock
        Monotonic seconds.
    wall_clock
        Seconds since the epoch.
    """

    holders: typing.Callable[[bytes], state.Holders] = alone
    call: index_sharing.Call = index_sharing.no_call
    link_share: typing.Callable[[], float] = whole
    session_hash: block_names.SessionHash | None = None
    clock: typing.Callable[[], float] = time.monotonic
    wall_clock: typing.Callable[[], float] = time.time


class KeptCache:
    """Plans and orders the transfers of KV blocks, and keeps their index.

    Parameters
    ----------
    view
        Gives the present configuration.
    key
        Secret shared by all agents, for the names of blocks.
    metrics
        Counters.
    ports
        What other slices offer.
    max_blocks
        Most blocks in the index.
    poll_s
        Seconds between looks at a store.
    """

    def __init__(
        self,
        view: typing.Callable[[], schema.View],
        key: bytes,
        metrics: state.Metrics | None = None,
        ports: Ports | None = None,
        max_blocks: int = MAX_BLOCKS,
        poll_s: float = keeping.POLL_S,
    ) -> None:
        self.view = view
        self.ports = ports or Ports()
        self.clock = self.ports.clock
        self.metrics = metrics or state.NoMetrics()
        self.poll_s = poll_s
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
        self.tools = exporting.Tools(
            index=self.index,
            names=self.names,
            sizes=sizes.Sizes(),
            sharing=self.sharing,
            stores=self.stores,
            engine=engine_kv.EngineKv(),
            client=store_client.StoreClient(),
            clock=self.clock,
            metrics=self.metrics,
        )
        self.sharing.on_added = self.learn_size
        self.stopping = threading.Event()
        self.importer = importing.Importer(self.tools, self.stopping)
        self.exporters: dict[str, exporting.Exporter] = {}
        self.keepers: dict[str, keeping.Keeper] = {}
        self.thread = threading.Thread(
            target=self.work, name="kept-cache", daemon=True
        )

    def register(self, router: server.Router) -> None:
        """Answer other agents' messages."""
        self.sharing.register(router)

    def start(self) -> None:
        """Begin to keep the configured stores in order."""
        self.sharing.start()
        self.thread.start()

    def stop(self) -> None:
        """End the threads after what they are doing."""
        self.stopping.set()
        self.sharing.stop()

    def work(self) -> None:
        """Follow the configuration until stopped."""
        while not self.stopping.is_set():
            self.refresh()
            self.stopping.wait(REFRESH_S)

    def refresh(self) -> None:
        """Take over the configured stores; one thread pair for each."""
        for store in self.stores.refresh():
            keeper = self.keeper(store)
            exporter = exporting.Exporter(store, self.tools, self.stopping)
            self.keepers[store.name] = keeper
            self.exporters[store.name] = exporter
            keeper.thread.start()
            exporter.thread.start()

    def keeper(self, store: store_state.Store) -> keeping.Keeper:
        """Return the keeper of a store, not started."""
        return keeping.Keeper(
            store,
            self.tools,
            self.ranker,
            self.view,
            self.stopping,
            self.ports.wall_clock,
            self.poll_s,
        )

    def ranker(self) -> retention.Ranker:
        """Return the order of victims under the present policy."""
        policy = retention.Policy.VALUE
        if self.view().kept_cache.policy == "lru":
            policy = retention.Policy.LRU
        return retention.Ranker(self.returns, policy)

    def learn_size(self, block: state.Block) -> None:
        """Learn the size of whole blocks from another agent's export."""
        self.tools.sizes.learn(block.variant, block.size)

    def salt(self, organisation: str) -> str:
        """Return the cache salt that engines are given."""
        return self.names.salt(organisation)

    def plan(
        self,
        organisation: str,
        model: str,
        adapter: str,
        version: str,
        chain: typing.Sequence[bytes],
        have: int,
        session: str = "",
    ) -> state.Plan:
        """Return what could be imported for a prompt.

        Parameters
        ----------
        organisation, model, adapter, version
            Of the request; blocks of any other never match.
        chain
            Plain chain digests of the prompt's whole pieces.
        have
            Pieces that the endpoint has already.
        session
            The caller's session, may be empty.

        Returns
        -------
        Plan
            Empty when nothing is kept or keeping is off.  Whether it is
            worth while is the caller's to decide, see ``Plan.best``.
        """
        wanted = chain[have:]
        if not wanted or self.view().kept_cache.policy == "off":
            return state.Plan(model, version, have)
        group = self.group(organisation, session, chain)
        self.find(group, self.names.variant(model, adapter, version))
        keys = self.names.keys(organisation, model, adapter, version, wanted)
        now = self.clock()
        own = group if self.ports.holders(group).mine else b""
        found = self.index.prefix(keys, now, own)
        salt = self.engine_salt(organisation, adapter)
        blocks = tuple(
            state.Planned(pieces.salted(digest, salt), block)
            for digest, block in zip(
                wanted, self.readable(found), strict=False
            )
        )
        until_s = self.predict(blocks)
        return state.Plan(model, version, have, blocks, until_s, now)

    def engine_salt(self, organisation: str, adapter: str) -> str:
        """Return the salt under which an engine names prefixes."""
        return pieces.salt_of(self.salt(organisation), adapter or None)

    def group(
        self, organisation: str, session: str, chain: typing.Sequence[bytes]
    ) -> bytes:
        """Return the group of a prompt; without a session, its start's."""
        return self.names.group(organisation, session or chain[0].hex())

    def find(self, group: bytes, variant: bytes) -> None:
        """Learn of a group from others when this agent may not know it."""
        self.sharing.ask(group, variant)

    def readable(
        self, blocks: typing.Iterable[state.Block]
    ) -> typing.Iterator[state.Block]:
        """Yield blocks up to the first whose store is away."""
        for block in blocks:
            if not self.stores.readable(block.store, block.boot_id):
                return
            yield block

    def predict(
        self, blocks: typing.Sequence[state.Planned]
    ) -> tuple[float, ...]:
        """Return the predicted seconds until each block is in."""
        before: dict[str, int] = {}
        spent_s: dict[str, float] = {}
        until_s = []
        for planned in blocks:
            block = planned.block
            store = self.stores.get(block.store)
            if store is None:
                break
            before[block.store] = before.get(block.store, 0) + block.size
            spent_s[block.store] = store.link.predict_s(before[block.store])
            until_s.append(sum(spent_s.values()))
        return tuple(until_s)

    def import_to(
        self, address: str, plan: state.Plan, max_s: float = keeping.READING_S
    ) -> state.Imported:
        """Let an endpoint import a plan's blocks; wait for it.

        Parameters
        ----------
        address
            ``ip:port`` of the engine.
        plan
            From :meth:`plan`.
        max_s
            Longest time that is of use, in seconds.

        Returns
        -------
        Imported
            What did not come is recomputed by the endpoint.
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
        """Queue exports of what a finished run left in its endpoint.

        Parameters
        ----------
        organisation, model, adapter, version
            Of the run.
        chain
            Plain chain digests of the prompt's whole pieces.
        endpoint_address
            ``ip:port`` of the engine.
        session
            The caller's session, may be empty.
        """
        policy = self.view().kept_cache
        if policy.policy == "off" or len(chain) < max(policy.min_pieces, 1):
            return
        now = self.clock()
        group = self.group(organisation, session, chain)
        self.returns.wanted(group, len(chain), now)
        self.index.wanted(group, now)
        missing = self.missing(organisation, model, adapter, version, chain)
        if not missing:
            return
        self.index.forget_oldest(len(missing))
        variant = self.names.variant(model, adapter, version)
        kind = self.returns.kind(group, len(chain))
        worth = self.returns.density(kind, 0.0)
        exporter = self.exporter_for(group, variant, worth)
        if exporter is None:
            self.metrics.count("exports_refused", len(missing))
            return
        job = exporting.Job(
            endpoint_address,
            model,
            version,
            group,
            variant,
            tuple(missing),
            worth,
            now,
        )
        exporter.submit(job)

    def missing(
        self,
        organisation: str,
        model: str,
        adapter: str,
        version: str,
        chain: typing.Sequence[bytes],
    ) -> list[exporting.Piece]:
        """Return the pieces of a chain that are not kept."""
        salt = self.engine_salt(organisation, adapter)
        keys = self.names.keys(organisation, model, adapter, version, chain)
        known = self.index.by_key
        return [
            exporting.Piece(pieces.salted(digest, salt), key, depth)
            for depth, (digest, key) in enumerate(
                zip(chain, keys, strict=True)
            )
            if key not in known
        ]

    def exporter_for(
        self, group: bytes, variant: bytes, worth: float
    ) -> exporting.Exporter | None:
        """Return the exporter of the store that a group should lie in."""
        size = self.tools.sizes.expected(variant) or 0
        with self.index.lock:
            known = self.index.groups.get(group)
            home = known.blocks[0].store if known is not None else ""
        usable = [
            store
            for store in self.stores.writable()
            if store.bar <= 0.0 or worth >= store.bar
        ]
        if not usable:
            return None
        chosen = min(
            usable,
            key=lambda store: (
                store.name != home,
                not store.has_room(size),
                store.fullness() > self.view().kept_cache.fill,
                block_names.rank(group, store.name),
            ),
        )
        return self.exporters.get(chosen.name)
