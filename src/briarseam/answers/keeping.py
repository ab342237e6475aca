"""Runs of disconnected callers: kept for a grace time, then cancelled."""

from __future__ import annotations

import threading
import time
import typing

from briarseam.admission import messages
from briarseam.answers import relay as relays
from briarseam.answers import resume
from briarseam.answers import runs
from briarseam.endpoints import engine

MAX_KEPT = 256


class Agent(typing.Protocol):
    """Link to the agent, as far as the run keeper needs it."""

    def may_cancel(self, answer_id: str, generation: int) -> bool:
        """Return whether no entry has resumed the answer since then."""


class RunKeeper:
    """Reads the streams of runs whose callers have disconnected.

    Parameters
    ----------
    grace_s
        Seconds until a run that was not resumed is cancelled.
    agent
        Link to the agent.
    engines
        Adapter to the engines.
    max_kept
        Maximum number of runs kept; further runs are cancelled at once.
    """

    def __init__(
        self,
        grace_s: float,
        agent: Agent,
        engines: engine.EngineClient,
        max_kept: int = MAX_KEPT,
    ) -> None:
        self.grace_s = grace_s
        self.agent = agent
        self.engines = engines
        self.slots = threading.BoundedSemaphore(max_kept)

    def keep(self, relay: relays.Relay, run: runs.Run) -> None:
        """Take over a run that this entry started."""
        self.start_reading(lambda grace_s: self.read_run(relay, run, grace_s))

    def keep_resumed(
        self, resumed: resume.Resumption, stream: engine.Stream
    ) -> None:
        """Take over a resumed run, which another entry may have started."""
        self.start_reading(
            lambda grace_s: self.read_resumed(resumed, stream, grace_s)
        )

    def start_reading(self, read: typing.Callable[[float], None]) -> None:
        """Read a run in its own thread, or cancel it if no slot is free."""
        if not self.slots.acquire(blocking=False):
            read(0.0)
            return
        threading.Thread(
            target=self.read_and_free, args=(read,), name="kept", daemon=True
        ).start()

    def read_and_free(self, read: typing.Callable[[float], None]) -> None:
        """Read a run, then release its slot."""
        try:
            read(self.grace_s)
        finally:
            self.slots.release()

    def read_run(
        self, relay: relays.Relay, run: runs.Run, grace_s: float
    ) -> None:
        """Read a run to its end, or cancel it after the grace time.

        A run with an idempotency key is never cancelled: its outcome, which
        the caller may request later, would be lost.
        """
        cancel_at: float | None = time.monotonic() + grace_s
        if relay.request.admit.key:
            cancel_at = None
        result = messages.RunResult.LOST_AFTER_FIRST
        try:
            while True:
                if cancel_at is not None and time.monotonic() >= cancel_at:
                    cancel_at = None
                    if self.cancel(
                        run.grant.answer_id,
                        run.grant.address,
                        run.grant.run_id,
                        0,
                    ):
                        result = messages.RunResult.CANCELLED
                        return
                piece = run.next_piece()
                if isinstance(piece, engine.Done):
                    result = messages.RunResult.DONE
                    return
                run.tokens.append(piece.token)
        except engine.LostError:
            pass
        finally:
            run.stream.close()
            run.ended = True
            relay.report_end(run.grant, result, run.tokens)

    def read_resumed(
        self,
        resumed: resume.Resumption,
        stream: engine.Stream,
        grace_s: float,
    ) -> None:
        """Read a resumed run to its end, or cancel it after the grace time."""
        cancel_at = time.monotonic() + grace_s
        located = resumed.located
        pieces = iter(stream)
        try:
            while time.monotonic() < cancel_at:
                if isinstance(resumed.sequencer.next(pieces), engine.Done):
                    return
            self.cancel(
                resumed.answer_id,
                located.address,
                located.run_id,
                located.generation,
            )
        except engine.LostError:
            pass
        finally:
            stream.close()

    def cancel(
        self, answer_id: str, address: str, run_id: str, generation: int
    ) -> bool:
        """Cancel a run unless any entry has resumed it since then."""
        if not self.agent.may_cancel(answer_id, generation):
            return False
        self.engines.cancel(address, run_id)
        return True
