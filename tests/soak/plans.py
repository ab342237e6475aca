"""Plans of a run's faults, drawn from its seed."""

from __future__ import annotations

import itertools
import random
import signal
import typing

from tests.platform import raw_answers
from tests.soak import deadly
from tests.soak import faults
from tests.soak import freeing
from tests.soak import isolation
from tests.soak import parts
from tests.soak import paths
from tests.soak import releases
from tests.soak import serving

# Plans the faults of a run by its seed, length and number of instances.
Plan = typing.Callable[[int, float, int], list[faults.Planned]]


def draw(random_: random.Random, instances: int) -> faults.Fault:
    """Return a fault of any kind."""
    instance = random_.randrange(instances)
    endpoint = random_.randrange(len(serving.SERVICES))
    state = random_.choice(faults.CUTS)
    reset = random_.random() < 0.5
    extras = ("retry_ratio = 0.3\n", faults.BAD_SETTINGS, "")
    made: list[faults.Fault] = [
        faults.StoreTrouble(random_.choice(faults.STORE_SWITCHES)),
        faults.StoreCut(instance, state, reset),
        faults.EndpointCut(endpoint, state, reset),
        faults.EndpointReplaced(endpoint),
        faults.EndpointLeaves(endpoint),
        faults.Misbehaviour(
            endpoint, random_.choice(sorted(faults.MISBEHAVIOUR))
        ),
        faults.Paused(instance),
        faults.Ended(instance, random_.choice(faults.SIGNALS)),
        faults.Reloaded(instance, random_.choice(extras)),
        faults.Reconfigured(random_.random() < 0.5),
    ]
    return random_.choice(made)


def plan(seed: int, seconds: float, instances: int) -> list[faults.Planned]:
    """Return the faults of a run, overlapping and in series."""
    random_ = random.Random(seed)
    found = []
    at_s = 0.5
    while at_s < seconds - 2.0:
        for_s = random_.uniform(0.3, 3.0)
        fault = draw(random_, instances)
        found.append(faults.Planned(at_s, for_s, fault))
        at_s += random_.choice((0.05, random_.uniform(0.3, 1.5)))
    return found


def plan_stops(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return stops in series that overlap; a third have other faults too."""
    random_ = random.Random(f"{seed}/stops")
    found = plan(seed, seconds, instances) if seed % 3 == 0 else []
    at_s = 0.5
    while at_s < seconds - 2.0:
        stopped = draw_stops(random_, instances)
        found.append(faults.Planned(at_s, random_.uniform(0.3, 3.0), stopped))
        at_s += random_.choice((0.3, random_.uniform(1.0, 6.0)))
    return sorted(found, key=lambda one: one.at_s)


def plan_restores(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return restores of the store; two of three have other faults too."""
    random_ = random.Random(f"{seed}/restores")
    found = plan(seed, seconds, instances) if seed % 3 else []
    at_s = random_.uniform(0.5, 2.0)
    while at_s < seconds - 2.0:
        restored = faults.StoreRestored(
            age_s=random_.uniform(0.2, 4.0),
            rewrite_s=random_.choice((0.0, random_.uniform(0.1, 1.5))),
        )
        found.append(faults.Planned(at_s, random_.uniform(0.1, 1.5), restored))
        at_s += random_.uniform(2.0, 6.0)
    return sorted(found, key=lambda one: one.at_s)


def plan_zones(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return evacuations and restarts of endpoints, beside other faults."""
    random_ = random.Random(f"{seed}/zones")
    found = plan(seed, seconds, instances) if seed % 3 else []
    at_s = 0.5
    while at_s < seconds - 2.0:
        fault = random_.choice(
            (
                faults.Evacuated(random_.choice(serving.ZONES)),
                faults.EndpointReplaced(
                    random_.randrange(len(serving.SERVICES))
                ),
            )
        )
        found.append(faults.Planned(at_s, random_.uniform(1.0, 5.0), fault))
        at_s += random_.uniform(0.3, 3.0)
    return sorted(found, key=lambda one: one.at_s)


def plan_announcements(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return what endpoints say in answers; two of three beside faults."""
    random_ = random.Random(f"{seed}/announcements")
    found = plan(seed, seconds, instances) if seed % 3 else []
    at_s = 0.5
    while at_s < seconds - 2.0:
        endpoint = random_.randrange(len(serving.SERVICES))
        limits = [random_.choice((0.0, 0.5, 2.0, 3.8, 8.0)) for _ in "ab"]
        fault = random_.choice(
            (
                faults.RateLimited(endpoint, (limits[0], limits[1])),
                faults.LeavesByAnswer(endpoint),
                faults.BackoffRequested(endpoint, random_.uniform(0.5, 3.0)),
            )
        )
        found.append(faults.Planned(at_s, random_.uniform(2.0, 12.0), fault))
        at_s += random_.uniform(0.3, 3.0)
    return sorted(found, key=lambda one: one.at_s)


def plan_paths(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return cuts from all endpoints; two of three beside other faults."""
    random_ = random.Random(f"{seed}/paths")
    found = plan(seed, seconds, instances) if seed % 3 else []
    at_s = 0.5
    while at_s < seconds - 2.0:
        if random_.random() < 0.7:
            count = random_.randint(1, max(1, instances - 1))
            numbers = random_.sample(range(instances), count)
            fault: faults.Fault = faults.PathsCut(
                tuple(numbers), random_.choice(list(paths.CutKind))
            )
            for_s = random_.choice((0.4, 0.9, random_.uniform(4.0, 7.0)))
        else:
            fault = faults.ServiceFragile(
                random_.choice(("portal", "engines")),
                per_s=random_.choice((1, 2, 3, 8)),
                room=random_.choice((1, 2, 4)),
            )
            for_s = random_.uniform(4.0, 8.0)
        found.append(faults.Planned(at_s, for_s, fault))
        at_s += random_.uniform(0.5, 4.0)
    return sorted(found, key=lambda one: one.at_s)


def plan_framings(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return forms of answers; two of three seeds have other faults too."""
    random_ = random.Random(f"{seed}/framings")
    found = plan(seed, seconds, instances) if seed % 3 else []
    at_s = 0.2
    while at_s < seconds - 1.0:
        number = random_.randrange(len(serving.SERVICES))
        is_stream = serving.SERVICES[number] == "engines"
        framed = faults.AnswersFramed(
            number,
            draw_form(random_, is_stream),
            random_.randint(1, 12),
            random_.choice(("\n", "\r\n", "\r")),
        )
        found.append(faults.Planned(at_s, random_.uniform(0.3, 2.0), framed))
        at_s += random_.uniform(0.05, 0.5)
    return sorted(found, key=lambda one: one.at_s)


def plan_releases(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return changes of software, broken streams and killed instances."""
    random_ = random.Random(f"{seed}/releases")
    found = plan(seed, seconds, instances) if seed % 3 == 0 else []
    engines = [
        number
        for number, service in enumerate(serving.SERVICES)
        if service == "engines"
    ]
    at_s = 0.3
    while at_s < seconds - 2.0:
        engine = random_.choice(engines)
        version = random_.choice(releases.VERSIONS)
        broken = faults.Misbehaviour(engine, "break_streams")
        fault = random_.choice(
            (
                faults.SoftwareReleased(
                    engine, version, random_.random() < 0.5
                ),
                *[broken] * 8,
                faults.Ended(random_.randrange(instances), signal.SIGKILL),
            )
        )
        found.append(faults.Planned(at_s, random_.uniform(0.3, 2.0), fault))
        at_s += random_.uniform(0.05, 0.4)
    return sorted(found, key=lambda one: one.at_s)


def plan_crashes(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return faults beside requests that crash endpoints; none for a third."""
    if seed % 3 == 0:
        return []
    kinds = (faults.Paused, faults.Ended, faults.StoreCut, faults.Reloaded)
    return [
        one
        for one in plan(seed, seconds, instances)
        if isinstance(one.fault, kinds)
    ]


def plan_parts(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return faults beside prompts with a part that crashes engines.

    Where there are no such prompts, all engines end together instead.
    """
    found = plan_crashes(seed + 1, seconds, instances)
    if parts.ends_engines(seed):
        found += [
            faults.Planned(at_s, 0.0, faults.EnginesEnded())
            for at_s in parts.draw_ends(seed, seconds)
        ]
    return sorted(found, key=lambda one: one.at_s)


def plan_deadly(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return ends of all instances and endpoints, beside other faults.

    None come in the last seconds.
    """
    random_ = random.Random(f"{seed}/deadly-plan")
    end_s = seconds - deadly.CALM_S
    kinds = (faults.Paused, faults.StoreCut, faults.StoreTrouble)
    found = [
        one
        for one in plan(seed, end_s, instances)
        if isinstance(one.fault, kinds) and seed % 3
    ]
    at_s = random_.uniform(1.0, 5.0)
    while at_s < end_s - 2.0:
        numbers = random_.sample(
            range(instances), random_.choice((instances, instances - 1))
        )
        fault = random_.choice(
            (
                faults.InstancesKilled(tuple(numbers), 0.0),
                faults.InstancesKilled(tuple(numbers), 1.0),
                faults.EnginesEnded(random_.choice(("engines", "portal"))),
            )
        )
        found.append(faults.Planned(at_s, random_.uniform(0.1, 0.8), fault))
        at_s += random_.uniform(1.0, 7.0)
    return sorted(found, key=lambda one: one.at_s)


def plan_contention(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return contentions for slow engines; two of three beside faults."""
    random_ = random.Random(f"{seed}/contention")
    kinds = (
        faults.Paused,
        faults.Ended,
        faults.StoreCut,
        faults.Reloaded,
        faults.EndpointReplaced,
    )
    found = [
        one
        for one in plan(seed, seconds, instances)
        if isinstance(one.fault, kinds) and seed % 3
    ]
    at_s = random_.uniform(0.2, 1.0)
    while at_s < seconds - 7.0:
        for_s = random_.uniform(6.5, 8.0)
        found.append(faults.Planned(at_s, for_s, faults.Contended()))
        at_s += for_s + random_.uniform(0.5, 2.0)
    at_s = random_.uniform(0.2, 1.0)
    while at_s < seconds - 2.0:
        slowed = faults.SlowedDown(
            random_.randrange(len(serving.SERVICES)), random_.uniform(2, 8)
        )
        found.append(faults.Planned(at_s, random_.uniform(0.2, 1.5), slowed))
        at_s += random_.uniform(0.2, 2.0)
    return sorted(found, key=lambda one: one.at_s)


def plan_isolations(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return changes of who is isolated, beside other faults."""
    others = plan(seed + 1, seconds, instances)
    return isolation.plan(seed, seconds, instances, others)


def plan_freeing(
    seed: int, seconds: float, instances: int
) -> list[faults.Planned]:
    """Return new weights in series while parts are fetched."""
    others = plan(seed + 1, seconds, instances)
    return freeing.plan(seed, seconds, instances, others)


def draw_form(random_: random.Random, is_stream: bool) -> raw_answers.Form:
    """Return a form of answers whose cuts callers must not take for ends."""
    forms = [
        raw_answers.Form(*form)
        for form in itertools.product(
            raw_answers.Framing,
            ("1.0", "1.1"),
            raw_answers.Cut,
            raw_answers.Ending,
        )
    ]
    return random_.choice(
        [form for form in forms if raw_answers.is_noticed(form, is_stream)]
    )


def draw_delays(seed: int) -> list[int]:
    """Return how long the endpoints of a run with stops take, in ms."""
    random_ = random.Random(f"{seed}/delays")
    return [
        random_.choice((0, random_.randint(100, 600)))
        for _ in serving.SERVICES
    ]


def draw_stops(random_: random.Random, instances: int) -> faults.StoppedInTurn:
    """Return stops of all instances in turn, or of one."""
    numbers = list(range(instances))
    random_.shuffle(numbers)
    return faults.StoppedInTurn(
        tuple(numbers if random_.random() < 0.6 else numbers[:1]),
        gap_s=random_.uniform(0.3, 2.0),
        again_s=random_.choice((0.0, 0.0, 0.0, random_.uniform(0.1, 4.0))),
        early_s=random_.choice((0.0, 0.0, 0.0, random_.uniform(0.1, 2.0))),
        crowded=random_.random() < 0.3,
    )
