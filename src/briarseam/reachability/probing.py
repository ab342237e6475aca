"""Probes of endpoints to which connections fail.

Requests of callers must not be what finds out that a path is back: each would
wait for a connection that fails, and all would return at once.
"""

from __future__ import annotations

import random
import threading
import typing

import structlog

from briarseam import worker_threads

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.discovery import model as discovery
    from briarseam.reachability import tracker

# Pause between two rounds of probes.
MIN_PAUSE_S = 0.2
# A random wait beyond it, so that instances that lost their paths together do
# not all return to the endpoints at once.
MAX_WAIT_S = 0.5
# Probes of a service at a time.  If so many of its endpoints can't be
# reached, the path to all of them is taken for lost.
MAX_PROBES = 8
# While any endpoint of a service has answered so recently, only those are
# probed to which connections have failed.
HEARD_S = 0.5
log = structlog.get_logger("briarseam.reachability")


class Prober:
    """Connects to endpoints that failed until they can be reached again.

    Parameters
    ----------
    reachability
        What is known, which gets the results.
    can_connect
        Connects to an endpoint and returns whether that succeeded.
    goes_on
        Returns whether an endpoint keeps a connection open, or takes one.
    """

    def __init__(
        self,
        reachability: tracker.Reachability,
        can_connect: typing.Callable[[discovery.Endpoint], bool],
        goes_on: typing.Callable[[discovery.Endpoint], bool] | None = None,
    ) -> None:
        self.reachability = reachability
        self.can_connect = can_connect
        self.goes_on = goes_on or can_connect
        self.wake = threading.Event()
        self.stopping = threading.Event()
        self.threads = worker_threads.WorkerThreads("probe")
        self.thread = threading.Thread(
            target=self.run, name="probing", daemon=True
        )
        reachability.on_failure = self.wake.set

    def start(self) -> None:
        """Start probing."""
        self.thread.start()

    def stop(self) -> None:
        """Stop probing."""
        self.stopping.set()
        self.wake.set()

    def run(self) -> None:
        """Probe until stopped."""
        while not self.stopping.is_set():
            self.wake.wait(random.uniform(0.0, MAX_WAIT_S))
            self.wake.clear()
            try:
                self.probe_all()
            except Exception:
                # Without this thread no endpoint would be used again.
                log.exception("task_failed", what="probing")
            self.stopping.wait(MIN_PAUSE_S)

    def probe_all(self) -> None:
        """Probe all services whose paths are in doubt, and some endpoints."""
        for endpoint in self.reachability.take_doubted():
            self.check(endpoint)
        for service in self.reachability.services_in_doubt():
            self.probe(service)

    def check(self, endpoint: discovery.Endpoint) -> None:
        """Check in a thread of its own whether an endpoint goes on."""

        def check_one() -> None:
            if not self.goes_on(endpoint):
                self.reachability.record_unreached(endpoint)

        try:
            self.threads.submit(check_one)
        except worker_threads.NoThreadError as error:
            log.warning("not_probed", endpoint=endpoint.id, detail=str(error))

    def probe(self, service: str) -> None:
        """Probe endpoints of a service and record the results."""
        reachability = self.reachability
        was_cut_off = reachability.is_cut_off(service)
        endpoints = reachability.endpoints(service)
        chosen = self.choose(service, endpoints)
        if not chosen:
            return
        reached = self.reached(chosen)
        for endpoint in chosen:
            if endpoint.id in reached:
                reachability.record_reached(endpoint)
            else:
                reachability.record_unreached(endpoint)
        # The results of this round need no further one right away.
        self.wake.clear()
        unheard = not reachability.heard_within(service, HEARD_S)
        if reached and was_cut_off:
            reachability.record_service_reached(service)
        elif unheard and len(chosen) == MAX_PROBES and not reached:
            reachability.record_service_unreached(service)
        if reached and reachability.is_silent(service):
            # The endpoints are slow, not cut off.
            reachability.record_heard(service)

    def choose(
        self, service: str, endpoints: list[discovery.Endpoint]
    ) -> list[discovery.Endpoint]:
        """Return the endpoints to probe."""
        reachable = self.reachability.reachable(endpoints)
        failed = [one for one in endpoints if one not in reachable]
        random.shuffle(failed)
        chosen = failed[:MAX_PROBES]
        if not self.reachability.heard_within(service, HEARD_S):
            random.shuffle(reachable)
            chosen += reachable[: MAX_PROBES - len(chosen)]
        return chosen

    def reached(
        self, endpoints: collections.abc.Sequence[discovery.Endpoint]
    ) -> frozenset[str]:
        """Return the ids of the endpoints that can be connected to."""
        results = [Result() for _ in endpoints]
        for endpoint, result in zip(endpoints, results, strict=True):
            self.submit(endpoint, result)
        for result in results:
            result.done.wait()
        return frozenset(
            endpoint.id
            for endpoint, result in zip(endpoints, results, strict=True)
            if result.connected
        )

    def submit(self, endpoint: discovery.Endpoint, result: Result) -> None:
        """Probe one endpoint in a thread of its own."""
        try:
            self.threads.submit(lambda: self.probe_one(endpoint, result))
        except worker_threads.NoThreadError as error:
            # Counts as reached: nothing is known of the path.
            log.warning("not_probed", endpoint=endpoint.id, detail=str(error))
            result.connected = True
            result.done.set()

    def probe_one(self, endpoint: discovery.Endpoint, result: Result) -> None:
        """Connect to one endpoint."""
        try:
            result.connected = self.can_connect(endpoint)
        finally:
            result.done.set()


class Result:
    """Result of the probe of one endpoint.

    Attributes
    ----------
    connected
        Whether the connection was made.
    done
        Set once that is known.
    """

    def __init__(self) -> None:
        self.connected = False
        self.done = threading.Event()
