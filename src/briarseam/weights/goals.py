"""Desired weights, and the versions that are too old for new requests."""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam import clocks

# Newest versions of a model that are remembered.  Each takes effect within
# about ten seconds, so older ones are no longer in use.
KEPT_VERSIONS = 8
# Times of goals that the store has, but operators' documents don't name yet.
MAX_RESTORED = 1000


@dataclasses.dataclass(frozen=True)
class WeightGoal:
    """Weights that operators set for a model.

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
    """All goals, and when each was first seen; thread-safe.

    A version excludes older weights from new requests a certain time after
    it was set.  The time counts from when the first instance saw the goal,
    which peers publish and the store keeps: an instance that has just
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
        self.first_seen: dict[WeightGoal, float] = {}
        # Times of goals that are not added yet.
        self.restored: dict[WeightGoal, float] = {}
        self.is_read = False
        self.lock = threading.Lock()

    def add(self, goal: WeightGoal, age_s: float = 0.0) -> bool:
        """Add a goal that was seen ``age_s`` ago; return if it is newest."""
        seen_s = self.clock() - age_s
        with self.lock:
            self.keep_earliest(goal, seen_s)
            known = self.newest.get(goal.model)
            if known is not None and known.version >= goal.version:
                return False
            self.newest = {**self.newest, goal.model: goal}
            self.apply_restored(goal)
            return True

    def restore(self, goal: WeightGoal, age_s: float) -> None:
        """Add the age of a goal that a former process saw.

        It doesn't change the newest goals, which follow from operators'
        documents alone.  Once these are read, a version above them excludes
        none: requests would be refused until there are engines with it.
        """
        seen_s = self.clock() - age_s
        with self.lock:
            known = self.newest.get(goal.model)
            if known is not None and goal.version <= known.version:
                self.keep_earliest(goal, seen_s)
            elif goal in self.restored or len(self.restored) < MAX_RESTORED:
                earliest_s = min(seen_s, self.restored.get(goal, seen_s))
                self.restored[goal] = earliest_s

    def mark_read(self) -> None:
        """Record that all operators' documents were read and added."""
        self.is_read = True

    def apply_restored(self, newest: WeightGoal) -> None:
        """Record the times of a model's goals; the lock is held."""
        for goal, seen_s in list(self.restored.items()):
            if goal.model == newest.model and goal.version <= newest.version:
                del self.restored[goal]
                self.keep_earliest(goal, seen_s)

    def seen_times(self) -> dict[WeightGoal, float]:
        """Return the times of all goals that count; the lock is held."""
        if self.is_read:
            return self.first_seen
        return self.restored | self.first_seen

    def keep_earliest(self, goal: WeightGoal, seen_s: float) -> None:
        """Record a goal's time if it is the earliest; the lock is held."""
        self.first_seen[goal] = min(seen_s, self.first_seen.get(goal, seen_s))
        same = [each for each in self.first_seen if each.model == goal.model]
        if len(same) > KEPT_VERSIONS:
            del self.first_seen[min(same, key=lambda each: each.version)]

    def first_seen_times(self) -> dict[WeightGoal, float]:
        """Return when each goal was first seen, by the clock."""
        with self.lock:
            return dict(self.seen_times())

    def ages(self) -> list[tuple[str, int, float]]:
        """Return model, version and age in seconds of all goals."""
        now_s = self.clock()
        with self.lock:
            return [
                (goal.model, goal.version, now_s - seen_s)
                for goal, seen_s in self.first_seen.items()
            ]

    def oldest_allowed(self, model: str, after_s: float) -> int:
        """Return the oldest weights on which new requests may run.

        Parameters
        ----------
        model
            Name of the model.
        after_s
            Age of a goal from which it excludes older weights, in seconds.
        """
        latest_s = self.clock() - after_s
        with self.lock:
            return max(
                (
                    goal.version
                    for goal, seen_s in self.seen_times().items()
                    if goal.model == model and seen_s <= latest_s
                ),
                default=0,
            )

    def remaining_s(self, model: str, version: int, after_s: float) -> float:
        """Return the time until weights are excluded; infinite for newest.

        Parameters
        ----------
        model, version
            Name of the model, and version of the weights.
        after_s
            Age of a goal from which it excludes older weights, in seconds.
        """
        now_s = self.clock()
        with self.lock:
            return min(
                (
                    seen_s + after_s - now_s
                    for goal, seen_s in self.seen_times().items()
                    if goal.model == model and goal.version > version
                ),
                default=float("inf"),
            )
