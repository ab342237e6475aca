"""Imports: engines read kept blocks within the budgets of the links."""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam.cache import exporting
from briarseam.cache import links
from briarseam.cache import maintenance
from briarseam.cache import state
from briarseam.cache import stores as store_state
from briarseam.endpoints import engine_kv

MIN_IMPORT_S = 0.5
TIMEOUT_FACTOR = 3.0
MAX_WAIT_FRACTION = 0.5
UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True)
class ActiveTransfer:
    """One active transfer on a store's link."""

    store: store_state.Store
    transfer: links.Transfer


class Importer:
    """Requests imports from engines and handles the results.

    Parameters
    ----------
    context
        Objects shared by the parts of the kept cache.
    stopping
        Set to end waits early.
    """

    def __init__(
        self, context: exporting.CacheContext, stopping: threading.Event
    ) -> None:
        self.context = context
        self.stopping = stopping

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
        if not plan.blocks:
            return state.Imported()
        timeout_s = min(
            max(MIN_IMPORT_S, TIMEOUT_FACTOR * plan.predicted_s), max_s
        )
        timeout_s = min(timeout_s, maintenance.MAX_IMPORT_S)
        blocks = [planned.block for planned in plan.blocks]
        expires_at = self.context.clock() + maintenance.MAX_IMPORT_S
        count = self.context.index.pin(blocks, expires_at)
        if not count:
            return state.Imported(failed="freed")
        imported = self.run_import(address, plan.cut(count), timeout_s)
        # Guard: an engine that did not answer in time may still be reading.
        # If the blocks were unpinned now, they could be deleted meanwhile,
        # so the pins are left to expire.
        if not imported.failed.startswith(UNANSWERED):
            self.context.index.unpin(blocks[:count])
        return imported

    def run_import(
        self, address: str, plan: state.Plan, timeout_s: float
    ) -> state.Imported:
        """Run an import within the budget of its links."""
        wait_s = self.reserve(plan, timeout_s * MAX_WAIT_FRACTION)
        if wait_s is None:
            self.context.metrics.count("imports_over_budget")
            return state.Imported(failed="budget")
        if wait_s > 0:
            self.stopping.wait(wait_s)
        self.context.metrics.count("imports")
        transfers = self.begin(plan)
        moved_bytes = 0
        answered = False
        try:
            answer = self.context.engine.import_blocks(
                address, self.request(plan), timeout_s - wait_s
            )
            moved_bytes = answer.bytes
            answered = True
        except engine_kv.KvUnavailableError as error:
            self.context.metrics.count("imports_failed")
            return state.Imported(failed=f"{UNANSWERED}: {error}")
        finally:
            self.end(transfers, plan, moved_bytes, answered)
        return self.handle_answer(plan, answer)

    def reserve(self, plan: state.Plan, max_wait_s: float) -> float | None:
        """Take budget on every link of a plan; return the seconds to wait."""
        longest_wait_s = 0.0
        for name, size in bytes_by_store(plan).items():
            store = self.context.stores.get(name)
            if store is None:
                return None
            wait_s = store.link.reserve(size, max_wait_s)
            if wait_s is None:
                return None
            longest_wait_s = max(longest_wait_s, wait_s)
        return longest_wait_s

    def begin(self, plan: state.Plan) -> list[ActiveTransfer]:
        """Record the start of a plan's transfers on their links."""
        active = []
        for name, size in bytes_by_store(plan).items():
            store = self.context.stores.get(name)
            if store is not None:
                active.append(ActiveTransfer(store, store.link.begin(size)))
        return active

    def end(
        self,
        active: typing.Sequence[ActiveTransfer],
        plan: state.Plan,
        moved_bytes: int,
        answered: bool,
    ) -> None:
        """Record the end of transfers of ``moved_bytes`` in total."""
        fraction = moved_bytes / plan.bytes if plan.bytes else 0.0
        for item in active:
            size = int(item.transfer.size * fraction)
            item.store.link.end(item.transfer, size, aborted=not answered)

    def request(self, plan: state.Plan) -> engine_kv.ImportRequest:
        """Return the request to an engine."""
        entries = []
        for planned in plan.blocks:
            store = self.context.stores.get(planned.block.store)
            entries.append(
                engine_kv.ImportBlock(
                    digest=planned.digest.hex(),
                    store=store.address if store is not None else "",
                    block=self.context.names.format(planned.block.packed),
                    checksum=planned.block.checksum.hex(),
                )
            )
        return engine_kv.ImportRequest(
            plan.model, plan.version, tuple(entries)
        )

    def handle_answer(
        self, plan: state.Plan, answer: engine_kv.ImportAnswer
    ) -> state.Imported:
        """Handle an import's result; a bad block is never used again."""
        self.context.metrics.count("imported_blocks", answer.imported)
        self.context.metrics.count("imported_bytes", answer.bytes)
        if answer.failed is None:
            return state.Imported(answer.imported, answer.bytes)
        self.context.metrics.count("imports_failed")
        fault = engine_kv.fault_of(answer.failed)
        bad = plan.blocks[min(answer.failed.index, len(plan.blocks) - 1)]
        store = self.context.stores.get(bad.block.store)
        match fault:
            case engine_kv.Fault.UNREACHABLE:
                if store is not None:
                    self.context.stores.record_failure(
                        store, answer.failed.reason, at_once=True
                    )
            case engine_kv.Fault.MISSING | engine_kv.Fault.CORRUPT:
                self.drop_bad_block(bad.block)
            case engine_kv.Fault.ENGINE:
                pass
        return state.Imported(answer.imported, answer.bytes, fault.value)

    def drop_bad_block(self, block: state.Block) -> None:
        """Free a block that an engine reported missing or corrupt."""
        group = block.group
        holders = self.context.sharing.holders(group)
        self.context.metrics.count("bad_blocks")
        if holders.is_owner:
            wait_s = self.context.sharing.deletion_delay_s(
                holders, maintenance.MAX_IMPORT_S
            )
            self.context.index.free(block, self.context.clock() + wait_s)
        else:
            self.context.index.forget(block)
        self.context.sharing.announce_freed(block)


def bytes_by_store(plan: state.Plan) -> dict[str, int]:
    """Return the bytes that a plan reads from each store."""
    sizes_by_store: dict[str, int] = {}
    for planned in plan.blocks:
        name = planned.block.store
        size = planned.block.size
        sizes_by_store[name] = sizes_by_store.get(name, 0) + size
    return sizes_by_store
