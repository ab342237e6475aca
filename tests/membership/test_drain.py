from __future__ import annotations

import dataclasses

from briarseam.membership import drain

LINGER_S = 5.0


@dataclasses.dataclass
class Daemon:
    """A daemon with a clock that advances only when the drain sleeps."""

    published_at: float = 0.0
    idle_at: float = 0.0
    interrupted_at: float = float("inf")
    now: float = 0.0
    announced: int = 0
    stop_requested_s: float | None = None

    def sleep(self, seconds: float) -> None:
        self.now += seconds

    def announce(self) -> None:
        self.announced += 1

    def drain(self, bound_s: float = 100.0) -> drain.Outcome:
        return drain.Drain(
            announce=self.announce,
            published=lambda: self.now >= self.published_at,
            in_flight=lambda: int(self.now < self.idle_at),
            settle=lambda: self.now >= self.idle_at,
            linger_s=lambda: LINGER_S,
            bound_s=bound_s,
            stop_requested_s=self.stop_requested_s,
            interrupted=lambda: self.now >= self.interrupted_at,
            clock=lambda: self.now,
            sleep=self.sleep,
        ).run()


def test_serves_until_lookups_expire() -> None:
    """A daemon is stopped while idle.  A caller that got its address in a
    lookup just before a peer learned of it must still be served.
    """
    daemon = Daemon(published_at=2.0)
    outcome = daemon.drain()
    assert isinstance(outcome, drain.Drained)
    assert daemon.announced == 1
    assert outcome.waited_s >= 2.0 + LINGER_S


def test_serves_until_nothing_is_in_flight() -> None:
    """A long answer that streams while a daemon is stopped is not cut off."""
    outcome = Daemon(idle_at=50.0).drain()
    assert isinstance(outcome, drain.Drained)
    assert outcome.waited_s >= 50.0


def test_unreachable_peer_does_not_block_stop() -> None:
    """If the leaving can't be published to an unreachable peer, the drain
    goes on after a timeout, and still waits until lookups expire.
    """
    outcome = Daemon(published_at=float("inf")).drain()
    assert isinstance(outcome, drain.Drained)
    assert outcome.waited_s >= drain.PUBLISH_TIMEOUT_S + LINGER_S
    assert outcome.waited_s < drain.PUBLISH_TIMEOUT_S + LINGER_S + 5


def test_bound_cuts_off_and_reports_count() -> None:
    """If a caller never ends its stream, the drain ends at its bound and
    reports the requests that are cut off.
    """
    outcome = Daemon(idle_at=float("inf")).drain(bound_s=20.0)
    assert isinstance(outcome, drain.CutOff)
    assert outcome.in_flight == 1
    assert 20.0 <= outcome.waited_s < 21.0


def test_interrupt_ends_drain() -> None:
    """A second signal of an operator ends the drain at once."""
    outcome = Daemon(idle_at=float("inf"), interrupted_at=3.0).drain()
    assert isinstance(outcome, drain.CutOff)
    assert outcome.waited_s < 4.0


def test_bound_counts_from_stop_request() -> None:
    """A process gets SIGTERM during its start and handles it seconds later.
    If the bound counted from then, the supervisor would kill the process
    before the bound, with its requests in flight.
    """
    daemon = Daemon(now=5.0, stop_requested_s=1.0, idle_at=float("inf"))
    outcome = daemon.drain(bound_s=7.0)
    assert isinstance(outcome, drain.CutOff)
    assert 8.0 <= daemon.now < 8.2


def test_overdue_stop_request_ends_drain_at_once() -> None:
    """An instance that resumes from a suspension after its bound has passed
    stops at once.
    """
    daemon = Daemon(now=60.0, stop_requested_s=1.0, idle_at=float("inf"))
    daemon.drain(bound_s=7.0)
    assert daemon.now < 60.2
