"""Imports: engines read kept blocks, within the budgets of the links."""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam.cache import exporting
from briarseam.cache import keeping
from briarseam.cache import links
from briarseam.cache import state
from briarseam.cache import stores as store_state
from briarseam.endpoints import engine_kv

MIN_IMPORT_S = 0.5
SLACK = 3.0
MAX_WAIT_PART = 0.5
UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True)
class Moving:
    """One transfer under way on a store's link."""

    store: store_state.Store
    transfer: links.Transfer


class Importer:
    """Orders imports and takes in what came of them.

    Parameters
    ----------
    tools
        Index, adapters and the like.
    stopping
        Ends waits early.
    """

    def __init__(
        self, tools: exporting.Tools, stopping: threading.Event
    ) -> None:
        self.tools = tools
        self.stopping = stopping

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
        if not plan.blocks:
            return state.Imported()
        bound_s = min(max(MIN_IMPORT_S, SLACK * plan.predicted_s), max_s)
        bound_s = min(bound_s, keeping.READING_S)
        blocks = [planned.block for planned in plan.blocks]
        until = self.tools.clock() + keeping.READING_S
        count = self.tools.index.borrow(blocks, until)
        if not count:
            return state.Imported(failed="freed")
        imported = self.carry_out(address, plan.cut(count), bound_s)
        # Guard: an engine that did not answer in time may still be reading.
        # Given back now, a block could be deleted under it; the reading
        # ends by its own bound instead.
        if not imported.failed.startswith(UNANSWERED):
            self.tools.index.give_back(blocks[:count])
        return imported

    def carry_out(
        self, address: str, plan: state.Plan, bound_s: float
    ) -> state.Imported:
        """Order an import within the budget of its links."""
        wait_s = self.reserve(plan, bound_s * MAX_WAIT_PART)
        if wait_s is None:
            self.tools.metrics.count("imports_over_budget")
            return state.Imported(failed="budget")
        if wait_s > 0:
            self.stopping.wait(wait_s)
        self.tools.metrics.count("imports")
        transfers = self.begin(plan)
        moved = 0
        whole = False
        try:
            answer = self.tools.engine.import_blocks(
                address, self.request(plan), bound_s - wait_s
            )
            moved = answer.bytes
            whole = True
        except engine_kv.EngineKvError as error:
            self.tools.metrics.count("imports_failed")
            return state.Imported(failed=f"{UNANSWERED}: {error}")
        finally:
            self.end(transfers, plan, moved, whole)
        return self.settle(plan, answer)

    def reserve(self, plan: state.Plan, bound_s: float) -> float | None:
        """Take budget on every link of a plan; return the wait."""
        longest_s = 0.0
        for name, size in bytes_by_store(plan).items():
            store = self.tools.stores.get(name)
            if store is None:
                return None
            wait_s = store.link.reserve(size, bound_s)
            if wait_s is None:
                return None
            longest_s = max(longest_s, wait_s)
        return longest_s

    def begin(self, plan: state.Plan) -> list[Moving]:
        """Note the start of a plan's transfers on their links."""
        moving = []
        for name, size in bytes_by_store(plan).items():
            store = self.tools.stores.get(name)
            if store is not None:
                moving.append(Moving(store, store.link.begin(size)))
        return moving

    def end(
        self,
        moving: typing.Sequence[Moving],
        plan: state.Plan,
        moved: int,
        answered: bool,
    ) -> None:
        """Note the end of transfers of which ``moved`` bytes came."""
        part = moved / plan.bytes if plan.bytes else 0.0
        for each in moving:
            size = int(each.transfer.size * part)
            each.store.link.end(each.transfer, size, cut=not answered)

    def request(self, plan: state.Plan) -> engine_kv.ImportRequest:
        """Return the order for an engine."""
        wanted = []
        for planned in plan.blocks:
            store = self.tools.stores.get(planned.block.store)
            wanted.append(
                engine_kv.Wanted(
                    digest=planned.digest.hex(),
                    store=store.address if store is not None else "",
                    block=self.tools.names.text(planned.block.packed),
                    checksum=planned.block.checksum.hex(),
                )
            )
        return engine_kv.ImportRequest(plan.model, plan.version, tuple(wanted))

    def settle(
        self, plan: state.Plan, answer: engine_kv.ImportAnswer
    ) -> state.Imported:
        """Take in an import's outcome; a bad block is never used again."""
        self.tools.metrics.count("imported_blocks", answer.imported)
        self.tools.metrics.count("imported_bytes", answer.bytes)
        if answer.failed is None:
            return state.Imported(answer.imported, answer.bytes)
        self.tools.metrics.count("imports_failed")
        fault = engine_kv.fault_of(answer.failed)
        bad = plan.blocks[min(answer.failed.index, len(plan.blocks) - 1)]
        store = self.tools.stores.get(bad.block.store)
        match fault:
            case engine_kv.Fault.UNREACHABLE:
                if store is not None:
                    self.tools.stores.failed(
                        store, answer.failed.reason, at_once=True
                    )
            case engine_kv.Fault.MISSING | engine_kv.Fault.CORRUPT:
                self.drop(bad.block)
            case engine_kv.Fault.ENGINE:
                pass
        return state.Imported(answer.imported, answer.bytes, fault.value)

    def drop(self, block: state.Block) -> None:
        """Free a block that its reader found missing or corrupt."""
        group = block.group
        holders = self.tools.sharing.holders(group)
        self.tools.metrics.count("bad_blocks")
        if holders.mine:
            wait_s = self.tools.sharing.free_wait_s(holders, keeping.READING_S)
            self.tools.index.free(block, self.tools.clock() + wait_s)
        else:
            self.tools.index.forget(block)
        self.tools.sharing.freed(block)


def bytes_by_store(plan: state.Plan) -> dict[str, int]:
    """Return the bytes of a plan over each store's link."""
    sizes_by_store: dict[str, int] = {}
    for planned in plan.blocks:
        name = planned.block.store
        size = planned.block.size
        sizes_by_store[name] = sizes_by_store.get(name, 0) + size
    return sizes_by_store
