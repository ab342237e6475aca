"""Handles other agents' queries for the configuration."""

from __future__ import annotations

import typing

from briarseam.configuration import messages
from briarseam.configuration import snapshots

if typing.TYPE_CHECKING:
    from briarseam.configuration import state as states
    from briarseam.wire import connection as connections
    from briarseam.wire import server

MAX_ANSWER_BYTES = 1024 * 1024
MAX_WAIT_MS = 5000


class PeerHandlers:
    """Handlers for peers' messages.

    Parameters
    ----------
    tree
        The local tree.
    ready
        Returns whether the local tree has been loaded.
    proof_age_ms
        Returns the age of the last proof that the local tree was current,
        in ms; -1 for never.
    """

    def __init__(
        self,
        tree: states.SharedTree,
        ready: typing.Callable[[], bool],
        proof_age_ms: typing.Callable[[], int],
    ) -> None:
        self.tree = tree
        self.ready = ready
        self.proof_age_ms = proof_age_ms
        self.packed = b""
        self.packed_offset = -1

    def register(self, router: server.Router) -> None:
        """Register the handlers with ``router``."""
        router.on(messages.FetchRecords, self.fetch_records)
        router.on(messages.FetchState, self.fetch_state)

    def fetch_records(
        self, peer: connections.Identity, request: messages.FetchRecords
    ) -> messages.Records:
        """Return records after the peer's offset; may wait for some."""
        wait_s = min(request.wait_ms, MAX_WAIT_MS) / 1000
        with self.tree.changed:
            if wait_s > 0:
                self.tree.wait_past(request.after, wait_s)
            data = self.tree.records_after(request.after, MAX_ANSWER_BYTES)
            return messages.Records(
                ready=self.ready(),
                offset=self.tree.fold.offset,
                digest=self.tree.fold.digest,
                proof_age_ms=self.proof_age_ms(),
                retained=data is not None,
                data=data or (),
            )

    def fetch_state(
        self, peer: connections.Identity, request: messages.FetchState
    ) -> messages.State:
        """Return one part of the complete state."""
        if not self.ready():
            return messages.State(ready=False)
        with self.tree.changed:
            fold = self.tree.fold
            if self.packed_offset != fold.offset:
                self.packed = snapshots.pack_state(fold)
                self.packed_offset = fold.offset
            offset, digest, packed = fold.offset, fold.digest, self.packed
        size = snapshots.CHUNK_BYTES
        start = request.part * size
        return messages.State(
            ready=True,
            offset=offset,
            digest=digest,
            parts=max(1, -(-len(packed) // size)),
            part=request.part,
            data=packed[start : start + size],
        )
