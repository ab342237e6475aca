"""How fast a service takes requests, and what follows for each waiter."""

from __future__ import annotations

import typing

from briarseam.queueing import estimate as estimates

if typing.TYPE_CHECKING:
    from briarseam.queueing import waiters


class Pace:
    """How fast a service takes requests; not thread-safe.

    Attributes
    ----------
    grants, arrivals
        Rates of granted and of arriving work.
    answer_time
        Time from a grant to the answer; samples may come from any thread.
    """

    def __init__(self) -> None:
        self.grants = estimates.GrantRate()
        self.arrivals = estimates.ArrivalRate()
        self.answer_time = estimates.AnswerTime()

    def rates(self, now_s: float, typical_work: float) -> estimates.Rates:
        """Return the rates of work.

        Parameters
        ----------
        now_s
            Time by the boot clock.
        typical_work
            Mean work of the waiters.
        """
        return estimates.Rates(
            self.grants.per_s(now_s, typical_work), self.arrivals.per_s(now_s)
        )

    def estimate(
        self,
        turn: waiters.Turn,
        work_refused: int,
        now_s: float,
        rates: estimates.Rates,
    ) -> estimates.Estimate:
        """Return when a waiter gets its turn.

        Parameters
        ----------
        turn
            Its place in the order.
        work_refused
            Work before it that was refused since.
        now_s
            Time by the boot clock.
        rates
            Rates at this time.
        """
        return estimates.Estimate(
            position=turn.position,
            work_ahead=max(0.0, turn.work_ahead - work_refused),
            work=turn.waiter.work,
            work_per_s=rates.granted_per_s,
            arriving_per_s=rates.arriving_per_s,
            answer_s=self.answer_time.seconds(),
            target_left_s=turn.waiter.target_s - now_s,
            left_s=turn.waiter.deadline_s - now_s,
            first_of_kind=turn.first_of_kind,
            wait_left_s=turn.waiter.wait_until_s - now_s,
        )
