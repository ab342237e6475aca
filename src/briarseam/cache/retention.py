"""Retention value of kept groups: expected hits per byte and second.

A group belongs to a class, given by its organisation, its length and whether
it has returned before.  For each class, the ages at which groups returned or
expired without a return are counted in bins of doubling width.  From these
counts follows the hit density, the expected hits per second of keeping a
group of a given age.  Groups with the lowest value are freed first.
"""

from __future__ import annotations

import array
import collections
import dataclasses
import enum
import functools
import math
import random
import threading
import typing

AGE_BINS = 25
MAX_USES = 2
MAX_CLASS_EVENTS = 4000.0
DECAY = 0.5
PRIOR_WEIGHT_EVENTS = 8.0
UPDATE_FRACTION = 0.02
MAX_INTERNED_CLASSES = 1024
SAMPLE_SIZE = 32


class Policy(enum.StrEnum):
    """How the groups to free are chosen."""

    VALUE = "value"
    LRU = "lru"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupClass:
    """Class of groups with similar return behaviour.

    Attributes
    ----------
    organisation
        Hash of the organisation.
    length
        Binary logarithm of the number of pieces.
    uses
        1 for a group that has not returned yet, ``MAX_USES`` otherwise.
    """

    organisation: bytes
    length: int
    uses: int


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A group that may be freed.

    Attributes
    ----------
    group
        Hash of the group.
    group_class
        Its class.
    age_s
        Seconds since its last use.
    cost_per_byte
        Seconds of prefill that a kept byte saves.
    """

    group: bytes
    group_class: GroupClass
    age_s: float
    cost_per_byte: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitedReturn:
    """A group whose return is awaited.

    Attributes
    ----------
    group_class
        Its class.
    started_at
        Time of its last use.
    """

    group_class: GroupClass
    started_at: float


def classify(organisation: bytes, pieces: int, uses: int) -> GroupClass:
    """Return the class of a group."""
    length = max(pieces, 1).bit_length()
    return interned_class(organisation, length, min(uses, MAX_USES))


@functools.lru_cache(MAX_INTERNED_CLASSES)
def interned_class(organisation: bytes, length: int, uses: int) -> GroupClass:
    """Return one shared object per class, since groups are many."""
    return GroupClass(organisation, length, uses)


def age_bin(age_s: float) -> int:
    """Return the bin of an age; bin ``b`` begins at ``2**b - 1`` seconds."""
    return min(int(math.log2(max(age_s, 0.0) + 1.0)), AGE_BINS - 1)


def bin_middle(index: int) -> float:
    """Return the age in seconds in the middle of a bin."""
    return float(1.5 * 2.0**index - 1.0)


BIN_MIDDLES = [bin_middle(index) for index in range(AGE_BINS)]


class AgeHistogram:
    """Counts of the ages at which groups of a class returned or expired."""

    def __init__(self) -> None:
        self.returned = array.array("f", [0.0] * AGE_BINS)
        self.expired = array.array("f", [0.0] * AGE_BINS)
        self.total = 0.0
        self.events_since_update = 0.0
        self.densities: list[float] = []

    def record_outcome(self, age_s: float, returned: bool) -> None:
        """Count one return or expiry."""
        counts = self.returned if returned else self.expired
        counts[age_bin(age_s)] += 1.0
        self.total += 1.0
        self.events_since_update += 1.0
        if self.total > MAX_CLASS_EVENTS:
            self.decay_counts()

    def decay_counts(self) -> None:
        """Reduce the weight of old counts, so that changes take effect."""
        for index in range(AGE_BINS):
            self.returned[index] *= DECAY
            self.expired[index] *= DECAY
        self.total *= DECAY

    def density(self, age_s: float) -> float:
        """Return the hits per second of keeping a group of this age."""
        if (
            not self.densities
            or self.events_since_update > self.total * UPDATE_FRACTION
        ):
            self.densities = self.compute_densities()
            self.events_since_update = 0.0
        return self.densities[age_bin(age_s)]

    def compute_densities(self) -> list[float]:
        """Return the density for each bin.

        For bin ``a``: the hits at ages of ``a`` and above, divided by the
        time that groups of age ``a`` remain until they return or expire.
        """
        densities = []
        for start in range(AGE_BINS):
            hits = 0.0
            stay_s = 0.0
            for index in range(start, AGE_BINS):
                returned = self.returned[index]
                ended = returned + self.expired[index]
                hits += returned
                stay_s += ended * max(
                    BIN_MIDDLES[index] - BIN_MIDDLES[start],
                    BIN_MIDDLES[start] / 3,
                    0.5,
                )
            densities.append(hits / stay_s if stay_s > 0.0 else 0.0)
        return densities


class ReturnModel:
    """Statistics of the returns of groups.

    Freed groups are tracked for a while without their blocks; otherwise
    returns that come later than groups stay in the stores would never be
    counted.

    Parameters
    ----------
    max_awaited
        Maximum number of groups tracked.
    max_classes
        Maximum number of classes with separate counts.
    """

    def __init__(
        self, max_awaited: int = 20000, max_classes: int = 1024
    ) -> None:
        self.max_awaited = max_awaited
        self.max_classes = max_classes
        self.lock = threading.Lock()
        self.all_groups = AgeHistogram()
        self.classes: dict[GroupClass, AgeHistogram] = {}
        self.awaited: collections.OrderedDict[bytes, AwaitedReturn] = (
            collections.OrderedDict()
        )

    def record_use(self, group: bytes, pieces: int, now: float) -> None:
        """Record a use of a group, the first or a return.

        Parameters
        ----------
        group
            Hash of the group.
        pieces
            Its current length.
        now
            Current time, in seconds.
        """
        organisation = group[:4]
        with self.lock:
            previous = self.awaited.pop(group, None)
            uses = 1
            if previous is not None:
                self.record_outcome(
                    previous.group_class,
                    now - previous.started_at,
                    returned=True,
                )
                uses = previous.group_class.uses + 1
            group_class = classify(organisation, pieces, uses)
            self.awaited[group] = AwaitedReturn(group_class, now)
            while len(self.awaited) > self.max_awaited:
                _, oldest = self.awaited.popitem(last=False)
                self.record_outcome(
                    oldest.group_class, now - oldest.started_at, returned=False
                )

    def record_outcome(
        self, group_class: GroupClass, age_s: float, returned: bool
    ) -> None:
        """Count one return or expiry, for the class and for all groups."""
        self.all_groups.record_outcome(age_s, returned)
        histogram = self.classes.get(group_class)
        if histogram is None:
            if len(self.classes) >= self.max_classes:
                return
            histogram = self.classes[group_class] = AgeHistogram()
        histogram.record_outcome(age_s, returned)

    def density(self, group_class: GroupClass, age_s: float) -> float:
        """Return the hits per second of keeping a group of a class.

        The fewer events a class has, the more the mean over all groups
        counts.
        """
        with self.lock:
            common = self.all_groups.density(age_s)
            histogram = self.classes.get(group_class)
            if histogram is None:
                return common
            weight = histogram.total / (histogram.total + PRIOR_WEIGHT_EVENTS)
            return weight * histogram.density(age_s) + (1.0 - weight) * common

    def group_class(self, group: bytes, pieces: int) -> GroupClass:
        """Return the class of a group, from its tracked uses."""
        with self.lock:
            awaited = self.awaited.get(group)
        if awaited is not None:
            return awaited.group_class
        return classify(group[:4], pieces, 1)


class Ranker:
    """Ranks groups by retention value.

    Parameters
    ----------
    model
        Statistics of returns.
    policy
        How groups to free are chosen.
    """

    def __init__(self, model: ReturnModel, policy: Policy) -> None:
        self.model = model
        self.policy = policy

    def value(self, candidate: Candidate) -> float:
        """Return the retention value; the lowest is freed first."""
        match self.policy:
            case Policy.LRU:
                return -candidate.age_s
            case Policy.VALUE:
                density = self.model.density(
                    candidate.group_class, candidate.age_s
                )
                return density * candidate.cost_per_byte

    def victim(
        self, candidates: typing.Iterable[Candidate]
    ) -> Candidate | None:
        """Return the candidate to free first.

        Of groups with equal values, the oldest is freed first.
        """
        return min(
            candidates,
            key=lambda candidate: (self.value(candidate), -candidate.age_s),
            default=None,
        )


def sample_groups(
    groups: typing.Sequence[bytes], rng: random.Random
) -> list[bytes]:
    """Return a random sample of the groups, of bounded size."""
    if len(groups) <= SAMPLE_SIZE:
        return list(groups)
    return [groups[rng.randrange(len(groups))] for _ in range(SAMPLE_SIZE)]
