from __future__ import annotations

import threading

import pytest

from briarseam import worker_threads
from briarseam.testing import waiting

IDLE_S = 0.2


@pytest.fixture
def workers():
    made = worker_threads.WorkerThreads("test", IDLE_S)
    yield made
    made.stop(5.0)


def hold(workers, count):
    """Keep threads at work until the returned event is set."""
    release = threading.Event()
    begun = threading.Semaphore(0)

    def task():
        begun.release()
        release.wait(10)

    for _ in range(count):
        workers.submit(task)
    for _ in range(count):
        assert begun.acquire(timeout=5)
    return release


def test_tasks_run_beside_each_other_and_threads_are_used_again(workers):
    for _ in range(3):
        release = hold(workers, 4)
        assert len(workers.threads) == 4
        release.set()
        waiting.until(lambda: workers.free == 4)


def test_threads_that_are_idle_end(workers):
    hold(workers, 4).set()
    waiting.until(lambda: not workers.threads)
    assert workers.free == 0
    hold(workers, 1).set()


def test_task_that_comes_as_the_last_thread_ends_is_done(workers):
    """A caller's connection waits for ever: the thread that was to serve it
    ended, for having been idle, in the moment in which it came.
    """
    for _ in range(200):
        done = threading.Event()
        workers.idle_s = 0.001
        workers.submit(done.set)
        assert done.wait(5)


def test_idle_thread_stays_for_a_task_that_counts_on_it(workers):
    """The task is counted, and on its way into the queue."""
    hold(workers, 1).set()
    waiting.until(lambda: workers.free == 1)
    with workers.lock:
        workers.free -= 1
    assert not workers.may_end()
    with workers.lock:
        workers.free += 1


def test_fault_in_a_task_leaves_its_thread_to_the_others(workers):
    workers.submit(lambda: 1 / 0)
    waiting.until(lambda: workers.free == 1)
    hold(workers, 1).set()


@pytest.fixture
def no_threads(monkeypatch):
    """Let the machine have no room for threads until the event is set."""
    room = threading.Event()
    start = threading.Thread.start

    def start_or_fail(thread):
        if thread.name == "test" and not room.is_set():
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", start_or_fail)
    return room


def test_task_without_any_thread_is_refused_and_the_next_one_done(
    workers, no_threads
):
    """The machine is at its limit of threads for a moment.

    A caller's connection can't be served.  Its accepting loop must hear
    so, go on, and serve the next one.
    """
    with pytest.raises(worker_threads.NoThreadError):
        workers.submit(lambda: None)
    assert (workers.refused, workers.free) == (1, 0)
    no_threads.set()
    hold(workers, 1).set()


def test_task_waits_for_a_thread_that_is_there(workers, no_threads):
    no_threads.set()
    release = hold(workers, 1)
    no_threads.clear()
    done = threading.Event()
    workers.submit(done.set)
    assert workers.refused == 1
    release.set()
    assert done.wait(5)
