"""Stand-in for a model engine."""

from __future__ import annotations

import collections.abc
import os
import uuid

import msgspec

from briarseam.testing import engine_cache
from briarseam.testing import engine_kv
from briarseam.testing import engine_messages
from briarseam.testing import engine_runs
from briarseam.testing import engine_scheduler
from briarseam.testing import engine_streams
from briarseam.testing import engine_switches
from briarseam.testing import engine_weights
from briarseam.testing import http_messages
from briarseam.testing import run_book
from briarseam.testing import stand_in

CRASH_STATUS = 70

Switches = engine_switches.Switches


class Engine(stand_in.StandIn[Switches]):
    """A model engine.

    Parameters
    ----------
    switches
        The switches at the start.
    listen
        ``IP:PORT``; port 0 takes any free one.
    models
        Versions loaded at the start, by model.
    role
        The role at the start.
    seed
        Fixes which cache events are lost.
    crash
        Ends the process when a prompt has the crash word.
    """

    def __init__(
        self,
        switches: Switches | None = None,
        listen: str = "127.0.0.1:0",
        models: dict[str, str] | None = None,
        role: str = "mixed",
        seed: int = 0,
        crash: collections.abc.Callable[[], None] = lambda: os._exit(
            CRASH_STATUS
        ),
    ) -> None:
        super().__init__(switches or Switches(), listen)
        self.boot_id = uuid.uuid4().hex
        self.cache = engine_cache.PrefixCache(
            self.switches.cache_tokens, self.boot_id, seed
        )
        self.weights = engine_weights.Weights(
            models or {}, role, self.cache, self.present_switches
        )
        self.scheduler = engine_scheduler.Scheduler(
            self.cache, self.present_switches, self.weights.version, crash
        )
        self.transfers = engine_kv.KvTransfers(self.cache)
        self.book = run_book.RunBook()
        self.wake()

    def present_switches(self) -> Switches:
        """Return the present switches.

        Returns
        -------
        Switches
            The switches.
        """
        return self.switches

    def start(self) -> Engine:
        """Bind and serve on threads of its own.

        Returns
        -------
        Engine
            The engine, listening.
        """
        self.scheduler.start()
        return super().start()

    def wake(self) -> None:
        """Take over changed switches and wake every call that waits."""
        super().wake()
        self.cache.resize(self.switches.cache_tokens, self.switches.event_loss)
        self.scheduler.wake()
        for run in self.book.kept():
            run.wake()
        if self.stopping.is_set():
            self.scheduler.stop()
            self.weights.stop()

    def answer_control(self, name: str) -> http_messages.Response:
        """Answer ``GET /control/runs``.

        Parameters
        ----------
        name
            What is asked for.

        Returns
        -------
        http_messages.Response
            The counts, or 404.
        """
        if name != "runs":
            return super().answer_control(name)
        counts = engine_messages.Runs(self.book.counts())
        return http_messages.json_response(200, counts)

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one call.

        Parameters
        ----------
        request
            The call.

        Returns
        -------
        http_messages.Response
            The answer.
        """
        match request.method:
            case "GET":
                return self.answer_get(request)
            case "POST":
                return self.answer_post(request)
        match request.method, request.path:
            case "DELETE", ("runs", run_id):
                return self.cancel(run_id)
        return stand_in.no_such_call(request)

    def answer_get(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Answer one reading call.

        Parameters
        ----------
        request
            The call.

        Returns
        -------
        http_messages.Response
            The answer.
        """
        match request.path:
            case ("runs", run_id):
                return self.resume(run_id, request)
            case ("load",):
                return http_messages.json_response(200, self.scheduler.load())
            case ("state",):
                return http_messages.json_response(200, self.weights.state())
            case ("cache", "events"):
                return self.cache_events(request.number("after", 0))
            case ("cache",):
                return http_messages.json_response(200, self.cache.listing())
        return stand_in.no_such_call(request)

    def answer_post(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Answer one call that starts something.

        Parameters
        ----------
        request
            The call.

        Returns
        -------
        http_messages.Response
            The answer.
        """
        match request.path:
            case ("runs",):
                return self.post_run(request)
            case ("kv", "export"):
                return self.export(request.body)
            case ("kv", "import"):
                return self.load_blocks(request.body)
            case ("orders",):
                return self.order(request.body)
        return stand_in.no_such_call(request)

    def post_run(self, call: http_messages.Request) -> http_messages.Response:
        """Start a run and stream it.

        Parameters
        ----------
        call
            The call.

        Returns
        -------
        http_messages.Response
            The stream, or why nothing was started.
        """
        request = msgspec.json.decode(
            call.body, type=engine_messages.RunRequest
        )
        if self.book.seen(request.run_id):
            return duplicate()
        state = self.weights.model(request.model)
        if state is None:
            return http_messages.problem(404, f"no model {request.model!r}")
        refusal = engine_runs.refusal(request, state)
        if refusal is not None:
            return http_messages.json_response(409, refusal)
        run = engine_runs.Run(request, state.version or "")
        if not self.book.add(run):
            return duplicate()
        self.scheduler.submit(run)
        return self.stream(run, 0, call.output)

    def resume(
        self, run_id: str, call: http_messages.Request
    ) -> http_messages.Response:
        """Stream a run again.

        Parameters
        ----------
        run_id
            Its id.
        call
            The call, ``from`` the first token wanted.

        Returns
        -------
        http_messages.Response
            The stream, or 404.
        """
        run = self.book.find(run_id)
        if run is None:
            return http_messages.problem(404, "no such run")
        return self.stream(run, call.number("from", 0), call.output)

    def stream(
        self,
        run: engine_runs.Run,
        offset: int,
        output: http_messages.Output,
    ) -> http_messages.Response:
        """Build the answer that streams a run.

        Parameters
        ----------
        run
            The run.
        offset
            First token wanted.
        output
            The caller's connection.

        Returns
        -------
        http_messages.Response
            The stream.
        """
        follower = engine_streams.Follower(
            run, offset, output, self.present_switches, self.stopping
        )
        body = follower.pieces()
        return http_messages.Response(200, body, http_messages.SSE_TYPE)

    def cancel(self, run_id: str) -> http_messages.Response:
        """Cancel a run.

        Parameters
        ----------
        run_id
            Its id.

        Returns
        -------
        http_messages.Response
            Whether it was under way, or 404.
        """
        run = self.book.find(run_id)
        if run is None:
            return http_messages.problem(404, "no such run")
        answer = engine_messages.Cancelled(self.scheduler.cancel(run))
        return http_messages.json_response(200, answer)

    def cache_events(self, after: int) -> http_messages.Response:
        """Answer ``GET /cache/events``.

        Parameters
        ----------
        after
            Number of the last event not wanted.

        Returns
        -------
        http_messages.Response
            The events that show by now.
        """
        lag_s = self.switches.event_lag_ms / 1000
        page = self.cache.events_after(after, lag_s)
        return http_messages.json_response(200, page)

    def export(self, body: bytes) -> http_messages.Response:
        """Write a cached piece to a store.

        Parameters
        ----------
        body
            The call's body.

        Returns
        -------
        http_messages.Response
            Length and checksum, 404 or 502.
        """
        request = msgspec.json.decode(body, type=engine_kv.ExportRequest)
        size = self.switches.kv_bytes_per_token
        try:
            exported = self.transfers.export(request, size)
        except engine_kv.StoreError as error:
            return http_messages.problem(502, str(error))
        if exported is None:
            return http_messages.problem(404, "not cached")
        return http_messages.json_response(200, exported)

    def load_blocks(self, body: bytes) -> http_messages.Response:
        """Read pieces from stores into the cache.

        Parameters
        ----------
        body
            The call's body.

        Returns
        -------
        http_messages.Response
            How many pieces were read.
        """
        request = msgspec.json.decode(body, type=engine_kv.ImportRequest)
        if self.weights.version(request.model) != request.version:
            failure = engine_kv.ImportFailure(0, "version")
            answer = engine_kv.Imported(0, 0, failure)
        else:
            answer = self.transfers.load(request)
            self.scheduler.wake()
        return http_messages.json_response(200, answer)

    def order(self, body: bytes) -> http_messages.Response:
        """Take an order.

        Parameters
        ----------
        body
            The call's body.

        Returns
        -------
        http_messages.Response
            How far it is, or 409 with the highest fencing number.
        """
        order = msgspec.json.decode(body, type=engine_messages.Order)
        answer = self.weights.take(order)
        match answer:
            case engine_messages.Fenced():
                return http_messages.json_response(409, answer)
            case engine_messages.OrderAnswer(state="loading"):
                return http_messages.json_response(202, answer)
        return http_messages.json_response(200, answer)


def duplicate() -> http_messages.Response:
    """Return the answer to a run id that was used before.

    Returns
    -------
    http_messages.Response
        409, before any other refusal: another one would say that the run
        did not run, though an earlier call may have started it.
    """
    return http_messages.json_response(409, engine_messages.Duplicate())
