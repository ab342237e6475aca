"""Composition of the drain of an instance between SIGTERM and its exit."""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam import clocks
from briarseam import inflight
from briarseam.membership import drain

if typing.TYPE_CHECKING:
    from briarseam.compose import node_instances
    from briarseam.forwarding import active_requests as active
    from briarseam.forwarding import shutdown as shutdowns

# Time for the final answers to requests that are cut off: their threads may
# be connecting to an endpoint, which takes up to 0.4 s.
FINAL_ANSWERS_S = 0.5
# Some callers keep a lookup for three times its time to live, but they have
# other addresses to try.
LINGER_S = 3.0


@dataclasses.dataclass(frozen=True)
class Draining:
    """Leaves the lookups and serves the requests in flight.

    Attributes
    ----------
    shutdown
        The state of the shutdown and its deadline.
    in_flight
        Requests in flight.
    active_requests
        Requests that are being forwarded.
    instances
        The peers that answer lookups.
    deregister
        Releases the lease for issuing orders, and the registration; may
        wait for the store.
    """

    shutdown: shutdowns.Shutdown
    in_flight: inflight.InFlight
    active_requests: active.ActiveRequests
    instances: node_instances.Instances
    deregister: typing.Callable[[], None]

    def run(
        self,
        interrupted: typing.Callable[[], bool],
        stop_requested_s: float | None,
    ) -> drain.Outcome:
        """Drain; return how it ended.

        Parameters
        ----------
        interrupted
            Whether to stop waiting now.
        stop_requested_s
            Time of the request to stop, by the boot clock; now unless
            given.
        """
        self.shutdown.begin(stop_requested_s)
        self.in_flight.move_to(inflight.Stage.LEAVING)
        bound_s = self.shutdown.bound_s()
        outcome = drain.Drain(
            announce=self.announce_leaving,
            published=self.instances.is_published,
            in_flight=lambda: self.in_flight.count,
            settle=self.in_flight.refuse_if_idle,
            linger_s=lambda: min(LINGER_S, bound_s / 2),
            bound_s=bound_s,
            stop_requested_s=self.shutdown.begun_s,
            interrupted=interrupted,
            clock=clocks.boot_clock,
        ).run()
        if isinstance(outcome, drain.CutOff):
            self.in_flight.move_to(inflight.Stage.REFUSING)
            self.active_requests.cut_off()
            self.in_flight.close(FINAL_ANSWERS_S)
        return outcome

    def announce_leaving(self) -> None:
        """Publish to peers and the store that this instance is leaving."""
        if self.instances.membership is not None:
            self.instances.membership.announce_leaving()
        # The store may be unavailable, and the drain must not wait for it.
        threading.Thread(
            target=self.deregister, name="sign-off", daemon=True
        ).start()
