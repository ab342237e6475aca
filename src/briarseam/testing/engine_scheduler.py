"""Continuous batching of a stand-in engine: one thread moves all its runs."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import math
import threading
import time

from briarseam.cache import pieces
from briarseam.testing import engine_cache
from briarseam.testing import engine_messages
from briarseam.testing import engine_runs
from briarseam.testing import engine_switches
from briarseam.testing import stand_in

KEPT_REPORTS = 10_000

VERSION_REPLACED = engine_messages.Failure("version replaced while queued")
CANCELLED = engine_messages.Failure("cancelled")


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Answer of ``GET /load``."""

    time_ms: int
    boot_id: str
    running: int
    queued: int
    slots: int
    prefill_tokens_queued: int
    cached_tokens: int
    cache_capacity_tokens: int


@dataclasses.dataclass(frozen=True)
class TimedReport:
    """A load report and the monotonic time in seconds it is of."""

    at: float
    report: LoadReport


class Scheduler:
    """Queue, slots and batch of an engine.

    Parameters
    ----------
    cache
        The prefix cache.
    switches
        Returns the present switches.
    loaded_version
        Returns the version of a model that is loaded now.
    crash
        Ends the process.

    Attributes
    ----------
    work
        Guards the queue and the batch; notified when there is more to do.
    """

    def __init__(
        self,
        cache: engine_cache.PrefixCache,
        switches: collections.abc.Callable[[], engine_switches.Switches],
        loaded_version: collections.abc.Callable[[str], str | None],
        crash: collections.abc.Callable[[], None],
    ) -> None:
        self.cache = cache
        self.switches = switches
        self.loaded_version = loaded_version
        self.crash = crash
        self.work = threading.Condition()
        self.stopped = False
        self.arrivals = itertools.count()
        self.queue: list[tuple[int, int, engine_runs.Run]] = []
        self.queued_tokens = 0
        self.prefilling: list[engine_runs.Run] = []
        self.decoding: list[engine_runs.Run] = []
        self.next_step_at = math.inf
        self.reports: collections.deque[TimedReport] = collections.deque(
            maxlen=KEPT_REPORTS
        )
        self.report()

    def start(self) -> None:
        """Start the thread that moves the runs."""
        threading.Thread(target=self.loop, daemon=True).start()

    def stop(self) -> None:
        """End the thread."""
        with self.work:
            self.stopped = True
            self.work.notify()

    def wake(self) -> None:
        """Look again, after a change of switches."""
        with self.work:
            step_at = time.monotonic() + self.switches().token_s
            self.next_step_at = min(self.next_step_at, step_at)
            self.report()
            self.work.notify()

    def submit(self, run: engine_runs.Run) -> None:
        """Queue a run.

        Parameters
        ----------
        run
            The run.
        """
        with self.work:
            order = (run.request.priority, next(self.arrivals), run)
            heapq.heappush(self.queue, order)
            self.queued_tokens += run.prompt_tokens
            self.report()
            self.work.notify()

    def cancel(self, run: engine_runs.Run) -> bool:
        """Cancel a run.

        Parameters
        ----------
        run
            The run.

        Returns
        -------
        bool
            Whether it had not ended before.
        """
        with self.work:
            if run.phase is engine_runs.Phase.ENDED:
                return False
            self.forget(run)
            run.end(CANCELLED)
            self.report()
            self.work.notify()
            return True

    def forget(self, run: engine_runs.Run) -> None:
        """Take a run out of queue and batch; call it under ``work``.

        Parameters
        ----------
        run
            The run.
        """
        if run.phase is engine_runs.Phase.QUEUED:
            self.queue = [order for order in self.queue if order[2] is not run]
            heapq.heapify(self.queue)
            self.queued_tokens -= run.prompt_tokens
        elif run in self.prefilling:
            self.prefilling.remove(run)
        elif run in self.decoding:
            self.decoding.remove(run)

    def loop(self) -> None:
        """Move all runs until stopped; the body of the thread."""
        with self.work:
            while not self.stopped:
                self.fill_slots()
                self.finish_prefills()
                self.step_if_due()
                self.work.wait(self.idle_s())

    def idle_s(self) -> float | None:
        """Return how long nothing is due; call it under ``work``.

        Returns
        -------
        float or None
            Seconds; ``None`` when nothing is due at all.
        """
        due_at = min(
            (run.prefill_ends_at for run in self.prefilling), default=math.inf
        )
        if self.decoding:
            due_at = min(due_at, self.next_step_at)
        if due_at == math.inf:
            return None
        return max(0.0, due_at - time.monotonic())

    def fill_slots(self) -> None:
        """Begin queued runs while a slot is free; call it under ``work``."""
        slots = self.switches().slots
        changed = False
        while self.queue and self.busy() < slots:
            _, _, run = heapq.heappop(self.queue)
            self.queued_tokens -= run.prompt_tokens
            changed = True
            self.begin(run)
        if changed:
            self.report()

    def busy(self) -> int:
        """Count the slots in use; call it under ``work``.

        Returns
        -------
        int
            Runs that prefill or decode.
        """
        return len(self.prefilling) + len(self.decoding)

    def begin(self, run: engine_runs.Run) -> None:
        """Begin a run's prefill; call it under ``work``.

        Parameters
        ----------
        run
            The run, out of the queue.
        """
        if self.loaded_version(run.request.model) != run.version:
            run.end(VERSION_REPLACED)
            return
        switches = self.switches()
        if switches.crash_word and switches.crash_word in run.words:
            self.crash()
        matched = self.cache.match(run.chain)
        missing = run.prompt_tokens - matched * pieces.PIECE_TOKENS
        prefill_s = (
            missing * switches.prefill_s_per_piece / pieces.PIECE_TOKENS
        )
        run.begin(matched, time.monotonic() + prefill_s)
        self.prefilling.append(run)

    def finish_prefills(self) -> None:
        """Move runs on into the batch; call it under ``work``."""
        now = time.monotonic()
        finished = [
            run for run in self.prefilling if run.prefill_ends_at <= now
        ]
        for run in finished:
            self.keep(run, run.chain)
            self.prefilling.remove(run)
            if not self.decoding:
                self.next_step_at = now + self.switches().token_s
            run.phase = engine_runs.Phase.DECODE
            self.decoding.append(run)
        if finished:
            self.report()

    def keep(
        self, run: engine_runs.Run, chain: list[engine_cache.Prefix]
    ) -> None:
        """Cache what a run computed, unless its weights were replaced.

        Parameters
        ----------
        run
            The run.
        chain
            The pieces.
        """
        if self.loaded_version(run.request.model) == run.version:
            self.cache.add(chain)

    def step_if_due(self) -> None:
        """Give each run of the batch a token; call it under ``work``."""
        now = time.monotonic()
        if not self.decoding or self.next_step_at > now:
            return
        self.next_step_at = max(
            self.next_step_at + self.switches().token_s, now
        )
        whole = [run for run in self.decoding if run.advance()]
        for run in whole:
            self.keep(run, run.whole_chain())
            self.decoding.remove(run)
            run.end()
        if whole:
            self.report()
            self.fill_slots()

    def report(self) -> None:
        """Note the load for later readers; call it under ``work``."""
        switches = self.switches()
        now = time.monotonic()
        report = LoadReport(
            time_ms=stand_in.wall_ms(),
            boot_id=self.cache.boot_id,
            running=self.busy(),
            queued=len(self.queue),
            slots=switches.slots,
            prefill_tokens_queued=self.queued_tokens,
            cached_tokens=self.cache.tokens,
            cache_capacity_tokens=switches.cache_tokens,
        )
        self.reports.append(TimedReport(now, report))

    def load(self) -> LoadReport:
        """Return the load as of ``load_lag_ms`` ago.

        Returns
        -------
        LoadReport
            The report, dated with the time it shows.
        """
        lag_ms = self.switches().load_lag_ms
        seen_at = time.monotonic() - lag_ms / 1000
        with self.work:
            while len(self.reports) > 1 and self.reports[1].at <= seen_at:
                self.reports.popleft()
            shown = self.reports[0].report
        return dataclasses.replace(
            shown, time_ms=stand_in.wall_ms() - round(lag_ms)
        )
