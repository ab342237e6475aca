"""Which weights are wanted, and which are too old to be used."""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam import clocks

# Versions of a model that are remembered, the newest: older ones are out of
# use long since, as each takes effect in some ten seconds.
KEPT_VERSIONS = 8


@dataclasses.dataclass(frozen=True)
class WeightGoal:
    """Weights that operators named for a model.

    Attributes
    ----------
    model
        Name of the model.
    version
        Higher for newer weights.
    """

    model: str
    version: int


class GoalHistory:
    """All goals, and since when each is known; thread-safe.

    No request may begin on older weights once a version was named for some
    time.  The time counts from when the first instance saw it, which peers
    tell each other and which lies on the store: an instance that has just
    started sees an old goal for the first time.

    Parameters
    ----------
    clock
        Seconds.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.newest: dict[str, WeightGoal] = {}
        self.seen: dict[WeightGoal, float] = {}
        self.lock = threading.Lock()

    def add(self, goal: WeightGoal, age_s: float = 0.0) -> bool:
        """Take in a goal that was seen so long ago; tell if it is newest."""
        seen_s = self.clock() - age_s
        with self.lock:
            self.keep_earliest(goal, seen_s)
            known = self.newest.get(goal.model)
            if known is not None and known.version >= goal.version:
                return False
            self.newest = {**self.newest, goal.model: goal}
            return True

    def restore(self, goal: WeightGoal, age_s: float) -> None:
        """Take in that a former process saw a goal.

        Operators' documents alone tell which goal is the newest.
        """
        seen_s = self.clock() - age_s
        with self.lock:
            self.keep_earliest(goal, seen_s)

    def keep_earliest(self, goal: WeightGoal, seen_s: float) -> None:
        """Keep the earliest time of a goal; the lock is held."""
        self.seen[goal] = min(seen_s, self.seen.get(goal, seen_s))
        same = [each for each in self.seen if each.model == goal.model]
        if len(same) > KEPT_VERSIONS:
            del self.seen[min(same, key=lambda each: each.version)]

    def all_seen(self) -> dict[WeightGoal, float]:
        """Return since when each goal is known, by the clock."""
        with self.lock:
            return dict(self.seen)

    def ages(self) -> list[tuple[str, int, float]]:
        """Return model, version and age in seconds of all goals."""
        now_s = self.clock()
        with self.lock:
            return [
                (goal.model, goal.version, now_s - seen_s)
                for goal, seen_s in self.seen.items()
            ]

    def oldest_allowed(self, model: str, after_s: float) -> int:
        """Return the oldest weights that requests may still begin on.

        Parameters
        ----------
        model
            Name of the model.
        after_s
            Age of a goal, in seconds, from which it excludes older weights.
        """
        latest_s = self.clock() - after_s
        with self.lock:
            return max(
                (
                    goal.version
                    for goal, seen_s in self.seen.items()
                    if goal.model == model and seen_s <= latest_s
                ),
                default=0,
            )

    def remaining_s(self, model: str, version: int, after_s: float) -> float:
        """Return the time until weights are excluded; infinite for newest.

        Parameters
        ----------
        model, version
            Which weights.
        after_s
            Age of a goal, in seconds, from which it excludes older weights.
        """
        now_s = self.clock()
        with self.lock:
            return min(
                (
                    seen_s + after_s - now_s
                    for goal, seen_s in self.seen.items()
                    if goal.model == model and goal.version > version
                ),
                default=float("inf"),
            )
