"""What a kept group is worth: its chance to return, per byte and second.

A group belongs to a class: its organisation, its length and whether it has
returned before.  For each class the ages at which groups returned, and at
which they were given up without returning, are counted in bins that double
in width.  From these counts follows the density of hits that keeping a
group of a given age will bring per second of the space it takes.  Groups
whose density is lowest are freed first.
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
    """How victims are chosen."""

    VALUE = "value"
    LRU = "lru"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupClass:
    """Groups that are expected to return alike.

    Attributes
    ----------
    organisation
        Its hash.
    length
        Binary logarithm of the number of pieces.
    uses
        1 for a group never wanted again so far, ``MAX_USES`` for others.
    """

    organisation: bytes
    length: int
    uses: int


@dataclasses.dataclass(frozen=True)
class Candidate:
    """What is known of a group when a victim is looked for.

    Attributes
    ----------
    group
        Its hash.
    group_class
        Its class.
    age_s
        Seconds since it was last wanted.
    cost_per_byte
        Seconds of prefill that a kept byte saves.
    """

    group: bytes
    group_class: GroupClass
    age_s: float
    cost_per_byte: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitedReturn:
    """A group that may return.

    Attributes
    ----------
    group_class
        Its class.
    since
        When it was last wanted.
    """

    group_class: GroupClass
    started_at: float


def classify(organisation: bytes, pieces: int, uses: int) -> GroupClass:
    """Return the class of a group."""
    length = max(pieces, 1).bit_length()
    return interned_class(organisation, length, min(uses, MAX_USES))


@functools.lru_cache(MAX_INTERNED_CLASSES)
def interned_class(organisation: bytes, length: int, uses: int) -> GroupClass:
    """Return one object for all groups of a class; they are many."""
    return GroupClass(organisation, length, uses)


def age_bin(age_s: float) -> int:
    """Return the bin of an age; bin ``b`` begins at ``2**b - 1`` seconds."""
    return min(int(math.log2(max(age_s, 0.0) + 1.0)), AGE_BINS - 1)


def bin_middle(index: int) -> float:
    """Return the age in seconds in the middle of a bin."""
    return float(1.5 * 2.0**index - 1.0)


BIN_MIDDLES = [bin_middle(index) for index in range(AGE_BINS)]


class AgeHistogram:
    """Counts of the ages at which groups of one class ended a wait."""

    def __init__(self) -> None:
        self.returned = array.array("f", [0.0] * AGE_BINS)
        self.expired = array.array("f", [0.0] * AGE_BINS)
        self.total = 0.0
        self.events_since_update = 0.0
        self.densities: list[float] = []

    def record_outcome(self, age_s: float, returned: bool) -> None:
        """Count one end of a wait."""
        counts = self.returned if returned else self.expired
        counts[age_bin(age_s)] += 1.0
        self.total += 1.0
        self.events_since_update += 1.0
        if self.total > MAX_CLASS_EVENTS:
            self.decay_counts()

    def decay_counts(self) -> None:
        """Let old counts weigh less, so that a change is learned."""
        for index in range(AGE_BINS):
            self.returned[index] *= DECAY
            self.expired[index] *= DECAY
        self.total *= DECAY

    def density(self, age_s: float) -> float:
        """Return hits per second of keeping a group of this age."""
        if (
            not self.densities
            or self.events_since_update > self.total * UPDATE_FRACTION
        ):
            self.densities = self.compute_densities()
            self.events_since_update = 0.0
        return self.densities[age_bin(age_s)]

    def compute_densities(self) -> list[float]:
        """Return the density for each bin.

        For bin ``a``: the hits at ages of ``a`` and above, by the time
        that groups which reach ``a`` stay until they return or are given
        up.
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
    """Learns how groups return.

    Groups that were freed are remembered for a while, without their
    blocks: were they forgotten, returns later than the space lasts could
    never be learned.

    Parameters
    ----------
    max_waiting
        Most groups remembered.
    max_classes
        Most classes counted apart.
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
        """Note that a group was wanted, for the first time or again.

        Parameters
        ----------
        group
            Its hash.
        pieces
            Its length now.
        now
            Seconds.
        """
        organisation = group[:4]
        with self.lock:
            before = self.awaited.pop(group, None)
            uses = 1
            if before is not None:
                self.record_outcome(
                    before.group_class, now - before.started_at, returned=True
                )
                uses = before.group_class.uses + 1
            group_class = classify(organisation, pieces, uses)
            self.awaited[group] = AwaitedReturn(group_class, now)
            while len(self.awaited) > self.max_awaited:
                _, old = self.awaited.popitem(last=False)
                self.record_outcome(
                    old.group_class, now - old.started_at, returned=False
                )

    def record_outcome(
        self, group_class: GroupClass, age_s: float, returned: bool
    ) -> None:
        """Count one end of a wait, for the class and over all."""
        self.all_groups.record_outcome(age_s, returned)
        histogram = self.classes.get(group_class)
        if histogram is None:
            if len(self.classes) >= self.max_classes:
                return
            histogram = self.classes[group_class] = AgeHistogram()
        histogram.record_outcome(age_s, returned)

    def density(self, group_class: GroupClass, age_s: float) -> float:
        """Return hits per second of keeping such a group.

        A class seen seldom leans on what all groups do.
        """
        with self.lock:
            common = self.all_groups.density(age_s)
            histogram = self.classes.get(group_class)
            if histogram is None:
                return common
            weight = histogram.total / (histogram.total + PRIOR_WEIGHT_EVENTS)
            return weight * histogram.density(age_s) + (1.0 - weight) * common

    def group_class(self, group: bytes, pieces: int) -> GroupClass:
        """Return the class of a group, by what is remembered of it."""
        with self.lock:
            known = self.awaited.get(group)
        if known is not None:
            return known.group_class
        return classify(group[:4], pieces, 1)


class Ranker:
    """Puts candidates in order of being freed.

    Parameters
    ----------
    model
        What is known of returns.
    policy
        How to choose.
    """

    def __init__(self, model: ReturnModel, policy: Policy) -> None:
        self.model = model
        self.policy = policy

    def value(self, candidate: Candidate) -> float:
        """Return what keeping a group is worth; the lowest goes first."""
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

        Groups of equal worth go by age, the oldest first.
        """
        return min(
            candidates,
            key=lambda candidate: (self.value(candidate), -candidate.age_s),
            default=None,
        )


def sample_groups(
    groups: typing.Sequence[bytes], rng: random.Random
) -> list[bytes]:
    """Return a bounded random part of the groups."""
    if len(groups) <= SAMPLE_SIZE:
        return list(groups)
    return [groups[rng.randrange(len(groups))] for _ in range(SAMPLE_SIZE)]
