"""Order in which the waiting requests of one service are served."""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing

from briarseam.admission import fair_queue

# While a kind of request waits, at least one grant in this many goes to it,
# so that more urgent ones can't starve it.
AGING_INTERVAL = 16


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter:
    """A request that waits for capacity; compared by identity.

    Attributes
    ----------
    service, route, organisation
        Names; the organisation is empty for an anonymous caller.
    priority
        0 is the most urgent.
    arrived_s
        When it arrived, by the boot clock.
    target_s
        When its answer, or the first event of it, counts as late, by the
        boot clock.
    deadline_s
        When its caller stops waiting, by the boot clock.
    work
        Prompt tokens; 1 for a request without a prompt.
    body_bytes
        Size of its body.
    resumed
        Whether it was sent before, or its caller has part of the answer.
    constraints
        Equal for requests that may be sent to the same endpoints.
    request
        Id of the request, for the log.
    """

    service: str
    route: str
    organisation: str
    priority: int
    arrived_s: float
    target_s: float
    deadline_s: float
    work: int
    body_bytes: int = 0
    resumed: bool = False
    constraints: typing.Hashable = None
    request: str = ""

    @property
    def kind(self) -> Kind:
        """What aging counts by: an organisation may change the priority."""
        return self.route, self.priority


class Stage(enum.IntEnum):
    """Classes of requests; a lower one is served first.

    Attributes
    ----------
    RESUMED
        Sent before, or partly answered.
    IN_TIME
        Can meet the target latency.
    LATE
        Can be answered, but only late.
    """

    RESUMED = 0
    IN_TIME = 1
    LATE = 2


Kind = tuple[str, int]
Level = tuple[Stage, int]
Queue = fair_queue.FairQueue[Waiter]


@dataclasses.dataclass(frozen=True)
class Turn:
    """A waiter's place in the order.

    Attributes
    ----------
    waiter
        The request.
    position
        Number of requests before it.
    work_ahead
        Work that is granted before it at most, of those that wait now.
    first_of_kind
        Whether it is the next one that aging applies to.
    """

    waiter: Waiter
    position: int
    work_ahead: float
    first_of_kind: bool


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
        self.queues: dict[Level, Queue] = {}
        self.level_of: dict[Waiter, Level] = {}
        self.waiting: collections.Counter[Kind] = collections.Counter()
        self.passed: dict[Kind, int] = {}
        self.work = 0

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self.level_of)

    def add(self, waiter: Waiter) -> None:
        """Add a waiter."""
        stage = Stage.RESUMED if waiter.resumed else Stage.IN_TIME
        self.push(waiter, (stage, 0 if waiter.resumed else waiter.priority))
        self.work += waiter.work
        if not waiter.resumed:
            self.waiting[waiter.kind] += 1
            self.passed.setdefault(waiter.kind, 0)

    def push(self, waiter: Waiter, level: Level) -> None:
        """Put a waiter on a level."""
        queue = self.queues.get(level)
        if queue is None:
            queue = self.queues[level] = fair_queue.FairQueue(lambda _: 1.0)
        rank = fair_queue.Rank(waiter.priority, waiter.deadline_s)
        queue.push(waiter.organisation, rank, waiter)
        self.level_of[waiter] = level

    def remove(self, waiter: Waiter) -> None:
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

    def grant(self, waiter: Waiter) -> None:
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
            if stage is Stage.IN_TIME and now_s + answer_s > waiter.target_s
        ]
        for waiter in late:
            level = self.level_of[waiter]
            self.queues[level].remove(waiter.organisation, waiter)
            self.push(waiter, (Stage.LATE, waiter.priority))

    def ranked(self) -> list[Waiter]:
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

    def due_kinds(self) -> dict[Kind, int]:
        """Return the kinds whose turn it is by aging, with their counts."""
        return {
            kind: count
            for kind, count in self.passed.items()
            if count >= AGING_INTERVAL - 1
        }

    def first_of_due_kinds(self, ranked: list[Waiter]) -> list[Waiter]:
        """Return the first waiter of each kind that has waited too long."""
        due = self.due_kinds()
        if not due:
            return []
        first: dict[Kind, Waiter] = {}
        for waiter in ranked:
            if waiter.kind in due and not waiter.resumed:
                first.setdefault(waiter.kind, waiter)
        return sorted(
            first.values(), key=lambda waiter: due[waiter.kind], reverse=True
        )

    def turns(self) -> list[Turn]:
        """Return the turns of all waiters, the next one first."""
        seen: collections.Counter[Kind] = collections.Counter()
        work_before = 0
        turns = []
        for position, waiter in enumerate(self.ranked()):
            before = seen[waiter.kind]
            turns.append(self.turn(waiter, position, work_before, before))
            seen[waiter.kind] += not waiter.resumed
            work_before += waiter.work
        return turns

    def turn_of(self, waiter: Waiter) -> Turn:
        """Return the turn of one waiter; a kind that is due is left out."""
        own = self.level_of[waiter]
        before = [
            other
            for level, queue in self.queues.items()
            if level < own
            for _organisation, other in queue.items()
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
        self, waiter: Waiter, position: int, work_before: int, of_kind: int
    ) -> Turn:
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
            return Turn(waiter, position, work_before, first_of_kind=False)
        grants = AGING_INTERVAL * (of_kind + 1) - 1 - self.passed[waiter.kind]
        bound = max(grants, 0) * self.work / len(self)
        return Turn(waiter, position, min(work_before, bound), of_kind == 0)


def ranked_in(queue: Queue) -> list[Waiter]:
    """Return the waiters of a fair queue in the order of their grants."""
    by_organisation: dict[str, list[Waiter]] = {}
    for organisation, waiter in queue.items():
        by_organisation.setdefault(organisation, []).append(waiter)
    tagged: list[tuple[float, float, float, int, Waiter]] = []
    for organisation, waiters in by_organisation.items():
        tag = queue.start_tag(organisation)
        waiters.sort(key=lambda waiter: (waiter.deadline_s, waiter.arrived_s))
        for waiter in waiters:
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
