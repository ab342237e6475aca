"""Runs whose callers are gone: kept for a grace time, then cancelled."""

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
    """What keeping needs from the link to the agent."""

    def may_cancel(self, answer_id: str, generation: int) -> bool:
        """Tell whether nobody resumed the answer since."""


class RunKeeper:
    """Reads on for callers that are gone.

    Parameters
    ----------
    grace_s
        Time until a run that nobody resumed is cancelled, in seconds.
    agent
        Link to the agent.
    engines
        Adapter to the engines.
    max_kept
        Runs kept at a time; beyond it they are cancelled at once.
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
        self.free = threading.BoundedSemaphore(max_kept)

    def keep(self, relay: relays.Relay, run: runs.Run) -> None:
        """Take over a run that this entry began."""
        self.begin(lambda grace_s: self.read_run(relay, run, grace_s))

    def keep_resumed(
        self, resumed: resume.Resumption, stream: engine.Stream
    ) -> None:
        """Take over a run that another entry began."""
        self.begin(lambda grace_s: self.read_resumed(resumed, stream, grace_s))

    def begin(self, read: typing.Callable[[float], None]) -> None:
        """Read on in a thread of its own, as far as there are some left."""
        if not self.free.acquire(blocking=False):
            read(0.0)
            return
        threading.Thread(
            target=self.read_and_free, args=(read,), name="kept", daemon=True
        ).start()

    def read_and_free(self, read: typing.Callable[[float], None]) -> None:
        """Read on, then let another run have the place."""
        try:
            read(self.grace_s)
        finally:
            self.free.release()

    def read_run(
        self, relay: relays.Relay, run: runs.Run, grace_s: float
    ) -> None:
        """Read a run to its end, or cancel it when the grace time is over.

        One whose outcome a key's caller may ask for is never cancelled: its
        outcome would be lost with it.
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
            relay.end(run.grant, result, run.tokens)

    def read_resumed(
        self,
        resumed: resume.Resumption,
        stream: engine.Stream,
        grace_s: float,
    ) -> None:
        """Read a resumed run on; cancel it when the grace time is over."""
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
        """Cancel a run unless it was resumed at any entry since."""
        if not self.agent.may_cancel(answer_id, generation):
            return False
        self.engines.cancel(address, run_id)
        return True
