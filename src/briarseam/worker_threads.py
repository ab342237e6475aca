"""Threads that come with the work and end when there is none."""

from __future__ import annotations

import queue
import sys
import threading
import time
import typing

import structlog

# A thread that had nothing to do for so long ends.
IDLE_S = 10.0
log = structlog.get_logger("briarseam.worker_threads")

Task = typing.Callable[[], None]


class NoThreadError(Exception):
    """There is no thread for a task, and none can be had."""


class WorkerThreads:
    """A thread for each task under way; idle threads are used again.

    Parameters
    ----------
    name
        Of the threads.
    idle_s
        How long a thread waits for another task, in seconds.
    max_idle
        Threads beyond so many end when they have no task.

    Attributes
    ----------
    free
        Threads that wait for a task, less the tasks that wait.
    refused
        How often a thread could not be had.
    """

    def __init__(
        self,
        name: str,
        idle_s: float = IDLE_S,
        max_idle: int = sys.maxsize,
    ) -> None:
        self.name = name
        self.idle_s = idle_s
        self.max_idle = max_idle
        self.lock = threading.Lock()
        self.free = 0
        self.refused = 0
        self.threads: set[threading.Thread] = set()
        self.waiting: queue.SimpleQueue[Task | None] = queue.SimpleQueue()

    def submit(self, task: Task) -> None:
        """Do a task in a thread, which may be a new one.

        Raises
        ------
        NoThreadError
            When no thread is there and none can be had.
        """
        with self.lock:
            self.free -= 1
            if self.free < 0:
                self.add_thread()
        self.waiting.put(task)

    def add_thread(self) -> None:
        """Start a thread; call it under the lock.

        Guard: at the machine's limit of threads a start fails, in a loop
        that accepts connections, say, which must not end by it.  The task
        waits for one of the threads that are there; the next one tries to
        start a thread again.
        """
        thread = threading.Thread(
            target=self.work, name=self.name, daemon=True
        )
        try:
            thread.start()
        except RuntimeError as error:
            self.refused += 1
            log.warning(
                "no_thread",
                what=self.name,
                threads=len(self.threads),
                refused=self.refused,
            )
            if not self.threads:
                self.free += 1
                raise NoThreadError(str(error)) from error
            return
        self.threads.add(thread)

    def work(self) -> None:
        """Do tasks until told to end, or idle for long."""
        with self.lock:
            self.free += 1
        while True:
            try:
                task = self.waiting.get(timeout=self.idle_s)
            except queue.Empty:
                if self.may_end():
                    return
                continue
            if task is None:
                self.end()
                return
            self.do(task)
            with self.lock:
                if self.free >= self.max_idle:
                    self.threads.discard(threading.current_thread())
                    return
                self.free += 1

    def do(self, task: Task) -> None:
        """Do one task."""
        try:
            task()
        except Exception:
            # A fault in one task must not take the thread from all others.
            log.exception("task_failed", what=self.name)

    def may_end(self) -> bool:
        """End this thread unless a task has just come for it."""
        with self.lock:
            if self.free <= 0:
                return False
            self.free -= 1
            self.threads.discard(threading.current_thread())
            return True

    def end(self) -> None:
        """Leave the threads."""
        with self.lock:
            self.free -= 1
            self.threads.discard(threading.current_thread())

    def stop(self, timeout_s: float) -> None:
        """End the threads after their present tasks.

        Parameters
        ----------
        timeout_s
            Longest wait in seconds for all of them.
        """
        deadline = time.monotonic() + timeout_s
        with self.lock:
            threads = list(self.threads)
        for _ in threads:
            self.waiting.put(None)
        for thread in threads:
            thread.join(max(0.0, deadline - time.monotonic()))
