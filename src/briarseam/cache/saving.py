"""Saving: which pieces of a finished run are exported, and to which store."""

from __future__ import annotations

import typing

from briarseam.cache import exporting
from briarseam.cache import names as block_names
from briarseam.cache import pieces
from briarseam.cache import planning
from briarseam.cache import retention
from briarseam.cache import state
from briarseam.configuration import schema


class Saver:
    """Queues exports of the KV that runs leave in their engines.

    Parameters
    ----------
    context
        Objects shared by the parts of the kept cache.
    view
        Returns the current configuration.
    planner
        Returns the keys and groups of prompts.
    returns
        Statistics of returns.
    exporters
        Exporters by store name.
    """

    def __init__(
        self,
        context: exporting.CacheContext,
        view: typing.Callable[[], schema.View],
        planner: planning.Planner,
        returns: retention.ReturnModel,
        exporters: typing.Mapping[str, exporting.Exporter],
    ) -> None:
        self.context = context
        self.view = view
        self.planner = planner
        self.returns = returns
        self.exporters = exporters

    def after_run(self, prompt: state.Prompt, engine: str) -> None:
        """Queue the pieces of a run's prompt that are not kept yet.

        Parameters
        ----------
        prompt
            Prompt of the run.
        engine
            ``ip:port`` of the engine that ran it.
        """
        context = self.context
        policy = self.view().kept_cache
        length = len(prompt.chain)
        if policy.policy == "off" or length < max(policy.min_pieces, 1):
            return
        now = context.clock()
        group = self.planner.group(prompt)
        self.returns.record_use(group, length, now)
        context.index.record_use(group, now)
        missing = self.missing(prompt)
        if not missing:
            return
        context.index.evict_oldest(len(missing))
        variant = context.names.variant(
            prompt.model, prompt.adapter, prompt.version
        )
        value = self.returns.density(
            self.returns.group_class(group, length), 0.0
        )
        exporter = self.exporter_for(group, variant, value)
        if exporter is None:
            context.metrics.count("exports_refused", len(missing))
            return
        exporter.submit(
            exporting.Job(
                engine,
                prompt.model,
                prompt.version,
                group,
                variant,
                tuple(missing),
                value,
                now,
            )
        )

    def missing(self, prompt: state.Prompt) -> list[exporting.Piece]:
        """Return the pieces of a prompt that are not kept."""
        salt = self.planner.engine_salt(prompt)
        keys = self.planner.keys(prompt, prompt.chain)
        indexed = self.context.index.by_key
        return [
            exporting.Piece(pieces.salted(digest, salt), key, depth)
            for depth, (digest, key) in enumerate(
                zip(prompt.chain, keys, strict=True)
            )
            if key not in indexed
        ]

    def exporter_for(
        self, group: bytes, variant: bytes, value: float
    ) -> exporting.Exporter | None:
        """Return the exporter of the preferred store of a group."""
        size = self.context.sizes.expected(variant) or 0
        with self.context.index.lock:
            indexed = self.context.index.groups.get(group)
            home = indexed.blocks[0].store if indexed is not None else ""
        usable = [
            store
            for store in self.context.stores.writable()
            if store.min_value <= 0.0 or value >= store.min_value
        ]
        if not usable:
            return None
        chosen = min(
            usable,
            key=lambda store: (
                store.name != home,
                not store.has_room(size),
                store.fullness() > self.view().kept_cache.fill,
                block_names.store_rank(group, store.name),
            ),
        )
        return self.exporters.get(chosen.name)
