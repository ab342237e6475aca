from __future__ import annotations

import dataclasses

from briarseam.membership import drain

LINGER_S = 5.0


@dataclasses.dataclass
class Daemon:
    """A daemon under a clock that moves only when the drain sleeps."""

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
    """A daemon is stopped while idle.  A caller asked for its address just
    before a peer heard the news, and still finds it serving.
    """
    daemon = Daemon(published_at=2.0)
    outcome = daemon.drain()
    assert isinstance(outcome, drain.Drained)
    assert daemon.announced == 1
    assert outcome.waited_s >= 2.0 + LINGER_S


def test_serves_until_nothing_is_in_flight() -> None:
    """A daemon is stopped while a long answer streams: it is not cut."""
    outcome = Daemon(idle_at=50.0).drain()
    assert isinstance(outcome, drain.Drained)
    assert outcome.waited_s >= 50.0


def test_unreachable_peer_does_not_block_stop() -> None:
    """A peer can't be told since it is cut off: the stop goes on after a
    bounded wait, and the lookups' time still passes.
    """
    outcome = Daemon(published_at=float("inf")).drain()
    assert isinstance(outcome, drain.Drained)
    assert outcome.waited_s >= drain.PUBLISH_TIMEOUT_S + LINGER_S
    assert outcome.waited_s < drain.PUBLISH_TIMEOUT_S + LINGER_S + 5


def test_bound_cuts_off_and_reports_count() -> None:
    """A caller never ends its stream: the stop has a bound and reports
    what it cut.
    """
    outcome = Daemon(idle_at=float("inf")).drain(bound_s=20.0)
    assert isinstance(outcome, drain.CutOff)
    assert outcome.in_flight == 1
    assert 20.0 <= outcome.waited_s < 21.0


def test_interrupt_ends_drain() -> None:
    """An operator has no time and signals again: the daemon stops now."""
    outcome = Daemon(idle_at=float("inf"), interrupted_at=3.0).drain()
    assert isinstance(outcome, drain.CutOff)
    assert outcome.waited_s < 4.0


def test_bound_counts_from_stop_request() -> None:
    """A process is told to stop while it starts, and notices it seconds
    later.  Counted from then, its bound comes after its supervisor has
    killed it, with all that it serves.
    """
    daemon = Daemon(now=5.0, stop_requested_s=1.0, idle_at=float("inf"))
    outcome = daemon.drain(bound_s=7.0)
    assert isinstance(outcome, drain.CutOff)
    assert 8.0 <= daemon.now < 8.2


def test_overdue_stop_request_ends_drain_at_once() -> None:
    """An instance was suspended; its supervisor's patience is over."""
    daemon = Daemon(now=60.0, stop_requested_s=1.0, idle_at=float("inf"))
    daemon.drain(bound_s=7.0)
    assert daemon.now < 60.2
