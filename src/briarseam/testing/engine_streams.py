"""The streams in which a stand-in engine gives its runs' answers."""

from __future__ import annotations

import collections.abc
import threading

from briarseam.testing import engine_runs
from briarseam.testing import engine_sinks
from briarseam.testing import engine_switches
from briarseam.testing import http_messages


class Follower:
    """One caller that follows a run.

    Parameters
    ----------
    run
        The run.
    offset
        First token wanted; those of ``prior`` are never given.
    output
        The caller's connection.
    switches
        Returns the present switches.
    stopping
        Cuts the stream.
    """

    def __init__(
        self,
        run: engine_runs.Run,
        offset: int,
        output: http_messages.Output,
        switches: collections.abc.Callable[[], engine_switches.Switches],
        stopping: threading.Event,
    ) -> None:
        self.run = run
        self.offset = max(offset, len(run.request.prior))
        self.output = output
        self.switches = switches
        self.stopping = stopping
        self.started = False
        self.sent = 0

    def pieces(self) -> collections.abc.Iterator[bytes]:
        """Follow the run to its end.

        Yields
        ------
        bytes
            Events that were ready at once.

        Raises
        ------
        http_messages.Dropped
            When the stream is cut.
        """
        ended = False
        while not ended:
            progress = self.run.progress(
                self.started, self.offset, self.stopping
            )
            ended = progress.ended
            yield from self.ready(progress)
            self.hand_over()

    def ready(
        self, progress: engine_runs.Progress
    ) -> collections.abc.Iterator[bytes]:
        """Give what is new, cut as the switches say.

        Parameters
        ----------
        progress
            How far the run is.

        Yields
        ------
        bytes
            Events that were ready at once.

        Raises
        ------
        http_messages.Dropped
            When the stream is cut.
        """
        events = []
        if not self.started and progress.start is not None:
            events.append(engine_runs.event("start", progress.start))
            self.started = True
        limit = self.switches().truncate_after
        for offset in range(self.offset, progress.length):
            events.append(self.run.token_event(offset))
            self.offset = offset + 1
            self.sent += 1
            if limit and self.sent >= limit:
                yield b"".join(events)
                raise http_messages.Dropped
        if progress.ended:
            events.append(self.run.last_event())
        yield b"".join(events)

    def hand_over(self) -> None:
        """Let the run send its tokens itself, as long as that goes well.

        Raises
        ------
        http_messages.Dropped
            When the connection is lost or the engine stops.
        """
        if self.switches().truncate_after:
            return
        sink = engine_sinks.Sink(self.output)
        if not self.run.attach(sink, self.offset):
            return
        sink.released.wait()
        self.run.detach(sink)
        self.offset += sink.count
        self.sent += sink.count
        if sink.failed or self.stopping.is_set():
            raise http_messages.Dropped
        if sink.rest:
            self.output.send(sink.rest)
