"""Order in which the waiting requests of one service are served."""

from __future__ import annotations

import collections

from briarseam.admission import fair_queue
from briarseam.queueing import waiters

# While a kind of request waits, at least one grant in this many goes to it,
# so that more urgent ones can't starve it.
AGING_INTERVAL = 16


Queue = fair_queue.FairQueue[waiters.Waiter]


class Order:
    """The waiting requests of one service; not thread-safe.

    Each class and priority has its own fair queue.  If they shared one,
    grants of urgent requests would advance the virtual time past the finish
    tags of all organisations that send less urgent ones, and these would be
    served by deadline alone.

    Attributes
    ----------
    work
        Work of all waiters.
    passed
        Number of grants to others since the last grant to a waiting kind.
    """

    def __init__(self) -> None:
        self.queues: dict[waiters.Level, Queue] = {}
        self.level_of: dict[waiters.Waiter, waiters.Level] = {}
        self.waiting: collections.Counter[waiters.Kind] = collections.Counter()
        self.passed: dict[waiters.Kind, int] = {}
        self.work = 0

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self.level_of)

    def add(self, waiter: waiters.Waiter) -> None:
        """Add a waiter."""
        stage = (
            waiters.Stage.RESUMED if waiter.resumed else waiters.Stage.IN_TIME
        )
        self.push(waiter, (stage, 0 if waiter.resumed else waiter.priority))
        self.work += waiter.work
        if not waiter.resumed:
            self.waiting[waiter.kind] += 1
            self.passed.setdefault(waiter.kind, 0)

    def push(self, waiter: waiters.Waiter, level: waiters.Level) -> None:
        """Put a waiter on a level."""
        queue = self.queues.get(level)
        if queue is None:
            queue = self.queues[level] = fair_queue.FairQueue(lambda _: 1.0)
        rank = fair_queue.Rank(waiter.priority, waiter.deadline_s)
        queue.push(waiter.organisation, rank, waiter)
        self.level_of[waiter] = level

    def remove(self, waiter: waiters.Waiter) -> None:
        """Remove a waiter that was not granted anything."""
        level = self.level_of.pop(waiter)
        self.queues[level].remove(waiter.organisation, waiter)
        self.queues[level].remove_idle()
        self.work -= waiter.work
        if waiter.resumed:
            return
        self.waiting[waiter.kind] -= 1
        if not self.waiting[waiter.kind]:
            del self.waiting[waiter.kind]
            del self.passed[waiter.kind]

    def grant(self, waiter: waiters.Waiter) -> None:
        """Remove a waiter that got capacity, and charge its organisation."""
        queue = self.queues[self.level_of[waiter]]
        queue.charge(waiter.organisation, waiter.work)
        for kind in self.passed:
            self.passed[kind] += 1
        if not waiter.resumed:
            self.passed[waiter.kind] = 0
        self.remove(waiter)

    def demote_late(self, now_s: float, answer_s: float) -> None:
        """Move the waiters that can no longer meet their target.

        Parameters
        ----------
        now_s
            Time by the boot clock.
        answer_s
            Estimated time from a grant to the answer, in seconds.
        """
        late = [
            waiter
            for waiter, (stage, _priority) in self.level_of.items()
            if stage is waiters.Stage.IN_TIME
            and now_s + answer_s > waiter.target_s
        ]
        for waiter in late:
            level = self.level_of[waiter]
            self.queues[level].remove(waiter.organisation, waiter)
            self.push(waiter, (waiters.Stage.LATE, waiter.priority))

    def ranked(self) -> list[waiters.Waiter]:
        """Return all waiters, the next one first."""
        by_level = [
            waiter
            for level in sorted(self.queues)
            for waiter in ranked_in(self.queues[level])
        ]
        due = self.first_of_due_kinds(by_level)
        if not due:
            return by_level
        resumed = [waiter for waiter in by_level if waiter.resumed]
        hoisted = set(due)
        others = [
            waiter
            for waiter in by_level[len(resumed) :]
            if waiter not in hoisted
        ]
        return [*resumed, *due, *others]

    def due_kinds(self) -> dict[waiters.Kind, int]:
        """Return the kinds whose turn it is by aging, with their counts."""
        return {
            kind: count
            for kind, count in self.passed.items()
            if count >= AGING_INTERVAL - 1
        }

    def first_of_due_kinds(
        self, ranked: list[waiters.Waiter]
    ) -> list[waiters.Waiter]:
        """Return the first waiter of each kind that has waited too long."""
        due = self.due_kinds()
        if not due:
            return []
        first: dict[waiters.Kind, waiters.Waiter] = {}
        for waiter in ranked:
            if waiter.kind in due and not waiter.resumed:
                first.setdefault(waiter.kind, waiter)
        return sorted(
            first.values(), key=lambda waiter: due[waiter.kind], reverse=True
        )

    def turns(self) -> list[waiters.Turn]:
        """Return the turns of all waiters, the next one first."""
        seen: collections.Counter[waiters.Kind] = collections.Counter()
        work_before = 0
        turns = []
        for position, waiter in enumerate(self.ranked()):
            before = seen[waiter.kind]
            turns.append(self.turn(waiter, position, work_before, before))
            seen[waiter.kind] += not waiter.resumed
            work_before += waiter.work
        return turns

    def turn_of(self, waiter: waiters.Waiter) -> waiters.Turn:
        """Return the turn of one waiter; a kind that is due is left out."""
        own = self.level_of[waiter]
        before = [
            other for other, level in self.level_of.items() if level < own
        ]
        for other in ranked_in(self.queues[own]):
            if other is waiter:
                break
            before.append(other)
        return self.turn(
            waiter,
            len(before),
            sum(other.work for other in before),
            sum(other.kind == waiter.kind for other in before),
        )

    def turn(
        self,
        waiter: waiters.Waiter,
        position: int,
        work_before: int,
        of_kind: int,
    ) -> waiters.Turn:
        """Return the turn of a waiter.

        A kind that others pass gets its turn by aging at the latest.  Without
        this bound, its requests would be refused as hopeless while there is
        enough urgent work.

        Parameters
        ----------
        waiter
            The request.
        position
            Number of requests before it.
        work_before
            Their work.
        of_kind
            Number of these that are of its kind.
        """
        if waiter.resumed:
            return waiters.Turn(
                waiter, position, work_before, first_of_kind=False
            )
        grants = AGING_INTERVAL * (of_kind + 1) - 1 - self.passed[waiter.kind]
        bound = max(grants, 0) * self.work / len(self)
        return waiters.Turn(
            waiter, position, min(work_before, bound), of_kind == 0
        )


def ranked_in(queue: Queue) -> list[waiters.Waiter]:
    """Return the waiters of a fair queue in the order of their grants."""
    by_organisation: dict[str, list[waiters.Waiter]] = {}
    for organisation, waiter in queue.items():
        by_organisation.setdefault(organisation, []).append(waiter)
    tagged: list[tuple[float, float, float, int, waiters.Waiter]] = []
    for organisation, queued in by_organisation.items():
        tag = queue.start_tag(organisation)
        queued.sort(key=lambda waiter: (waiter.deadline_s, waiter.arrived_s))
        for waiter in queued:
            # The length makes the key unique: waiters have no order.
            tagged.append(
                (
                    tag,
                    waiter.deadline_s,
                    waiter.arrived_s,
                    len(tagged),
                    waiter,
                )
            )
            tag += waiter.work
    return [entry[-1] for entry in sorted(tagged)]
