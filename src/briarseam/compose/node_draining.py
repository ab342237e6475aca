"""Composing how an instance leaves between SIGTERM and its end."""

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

# For the last answers to requests that are cut off: their threads may wait
# for a connection to an endpoint, which takes 0.4 s at most.
FINAL_ANSWERS_S = 0.5
# Lookups are kept for three times their time to live by some callers, but
# those have other addresses to turn to.
LINGER_S = 3.0


@dataclasses.dataclass(frozen=True)
class Draining:
    """Leaves the lookups and serves what is under way.

    Attributes
    ----------
    shutdown
        What is still taken on, and until when.
    in_flight
        Requests in flight.
    active_requests
        Those that are being forwarded.
    instances
        The peers that give out lookups.
    sign_off
        Gives up this instance's duty and registration; may wait for the
        store.
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
        hurry
            Whether to give up waiting now.
        asked_s
            When this process was asked to stop, by the boot clock; now
            unless given.
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
        """Tell peers and store that this instance will be gone soon."""
        if self.instances.membership is not None:
            self.instances.membership.announce_leaving()
        # The store may be away; what serves must not wait for it.
        threading.Thread(
            target=self.deregister, name="sign-off", daemon=True
        ).start()
