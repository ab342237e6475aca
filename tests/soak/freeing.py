"""Parts of replaced weights that are freed while others are fetched."""

from __future__ import annotations

import collections
import random
import signal
import time
import typing

from tests.platform import system
from tests.soak import cache_faults
from tests.soak import faults
from tests.soak import kept_parts
from tests.soak import links
from tests.soak import serving

if typing.TYPE_CHECKING:
    import collections.abc

# A fetch is slow if it takes this long, discarded or not.
SLOW_FETCH_S = 1.0
# Fewer show nothing.
MIN_FETCHES = 20
# Within which parts of replaced weights are freed once no fault strikes: the
# time for which these may be used and fetched, and that of reviews and starts.
FREED_S = kept_parts.VERSION_MS / 1000 + 5.0 + 6.0
# Instances fetch nothing in the first seconds after their start.
FIRST_WEIGHTS_S = (3.0, 5.0)
# Time between two new weights; those in a row meet rollouts that go on.
SERIES_GAP_S = 0.4
WEIGHTS_GAP_S = (1.5, 6.0)
# Of faults after which few fetch; others last longer.
LONGEST_S = {
    cache_faults.AllPaused: 4.0,
    cache_faults.CacheStruck: 4.0,
    faults.Ended: 3.0,
}
OTHERS = (
    faults.StoreTrouble,
    faults.EndpointReplaced,
    faults.Misbehaviour,
    faults.Reloaded,
    faults.Reconfigured,
)


def draw(random_: random.Random, instances: int) -> faults.Fault:
    """Return a fault of any kind."""
    instance = random_.randrange(instances)
    engines = serving.SERVICES.count("engines")
    store = random_.randrange(kept_parts.STORES)
    struck = [
        cache_faults.CacheStruck(store, how)
        for how in cache_faults.Trouble
        if how is not cache_faults.Trouble.RESTARTS or random_.random() < 0.25
    ]
    state = random_.choice(faults.CUTS)
    made: list[faults.Fault] = [
        *struck,
        *[cache_faults.CacheStruck(store, cache_faults.Trouble.DELAYS_FREES)]
        * 3,
        *[cache_faults.EntryLapsed(random_.randrange(engines))] * 4,
        *[faults.Paused(instance)] * 3,
        cache_faults.AllPaused(),
        faults.Ended(instance, random_.choice(faults.SIGNALS)),
        *[faults.StoreCut(instance, state, random_.random() < 0.5)] * 2,
        *[cache_faults.PeersCut(instance, state)] * 2,
    ]
    return random_.choice(made)


def plan(
    seed: int,
    seconds: float,
    instances: int,
    others: collections.abc.Sequence[faults.Planned],
) -> list[faults.Planned]:
    """Return new weights in series beside faults."""
    random_ = random.Random(f"{seed}/freeing")
    found = [
        one for one in others if isinstance(one.fault, OTHERS) and seed % 3
    ]
    at_s = random_.uniform(*FIRST_WEIGHTS_S)
    while at_s < seconds - 1.0:
        found.append(faults.Planned(at_s, 0.0, cache_faults.WeightsNamed()))
        at_s += random_.choice((SERIES_GAP_S, random_.uniform(*WEIGHTS_GAP_S)))
    if seed % 2:
        everyone = tuple(range(instances))
        killed = faults.InstancesKilled(everyone, 0.0)
        at_s = random_.uniform(0.3, 0.7) * seconds
        found.append(faults.Planned(at_s, random_.uniform(0.1, 1.0), killed))
    at_s = random_.uniform(0.5, 3.0)
    while at_s < seconds - 1.0:
        fault = draw(random_, instances)
        longest_s = min(LONGEST_S.get(type(fault), 8.0), seconds - at_s)
        for_s = random_.uniform(0.2, longest_s)
        found.append(faults.Planned(at_s, for_s, fault))
        at_s += random_.uniform(0.3, 2.5)
    return sorted(found, key=lambda one: one.at_s)


def strike(
    deployment: serving.Deployment, fault: cache_faults.Freeing, for_s: float
) -> None:
    """Let a fault strike."""
    match fault:
        case cache_faults.WeightsNamed():
            name_weights(deployment)
        case cache_faults.EntryLapsed(number):
            worker = deployment.endpoints[number].worker.id
            deployment.lapsed.add(worker)
            deployment.store.write("keyed.servers", worker, None)
            time.sleep(for_s)
            deployment.lapsed.discard(worker)
            deployment.renew_entry(worker)
        case cache_faults.AllPaused():
            pause_all(deployment, for_s)
        case cache_faults.PeersCut(number, state):
            cut_from_peers(deployment, number, state, for_s)
        case cache_faults.CacheStruck(number, how):
            deployment.kept.stores[number].strike(how, for_s)


def name_weights(deployment: serving.Deployment) -> None:
    """Let the operators name the next weights."""
    with deployment.lock:
        deployment.kept.weights += 1
        goal = {"model": system.MODEL, "version": deployment.kept.weights}
        deployment.store.write("keyed.op", f"version/{system.MODEL}", goal)


def pause_all(deployment: serving.Deployment, for_s: float) -> None:
    """Let all instances stand still for a while."""
    began_s = time.monotonic()
    until_s = began_s + for_s + faults.STABLE_S
    for instance in deployment.instances:
        instance.troubled_until = max(instance.troubled_until, until_s)
        instance.send(signal.SIGSTOP)
    time.sleep(for_s)
    for instance in deployment.instances:
        instance.send(signal.SIGCONT)
        instance.struck.append((began_s, time.monotonic()))
        until_s = time.monotonic() + faults.STABLE_S
        instance.troubled_until = max(instance.troubled_until, until_s)


def cut_from_peers(
    deployment: serving.Deployment,
    number: int,
    state: links.State,
    for_s: float,
) -> None:
    """Cut one instance off from all others for a while."""
    struck = deployment.instances[number]
    cut = [
        link
        for one in deployment.instances
        for address, link in one.paths.links.items()
        if one is struck or address in struck.listen.values()
    ]
    for link in cut:
        link.state = state
    time.sleep(for_s)
    for link in cut:
        link.state = links.State.PASSING
        link.reset()


def count(deployment: serving.Deployment) -> dict[str, int]:
    """Return how many fetches and frees there were."""
    kept = deployment.kept
    if not isinstance(kept, kept_parts.Kept):
        return {}
    found: collections.Counter[str] = collections.Counter()
    for store in kept.stores:
        slow = sum(took_s >= SLOW_FETCH_S for took_s in store.fetched_s)
        found["fetches"] += len(store.fetched_s)
        found["slow fetches"] += slow
        found["discarded"] += store.discarded
        found["broken off"] += store.broken_off
        found["freed"] += len(store.freed)
        calls = store.free_calls
        found["repeated frees"] += sum(calls.values()) - len(calls)
        found["late frees"] += store.late_frees
        found["taken though freed"] += len(store.broken)
    return {"weights named": kept.weights - 1, **found}


def check(deployment: serving.Deployment) -> typing.Iterator[str]:
    """Yield each fetch of what was freed, and parts that are never freed."""
    kept = deployment.kept
    if not isinstance(kept, kept_parts.Kept):
        return
    for address, old in kept_parts.await_freed(kept, FREED_S).items():
        yield f"{address} keeps parts of {old}, {kept.weights} are named"
    for store in kept.stores:
        for salt, part in store.broken:
            yield f"{store.address} freed {part} of {salt} while fetched"
    found = count(deployment)
    if found["fetches"] < MIN_FETCHES or not found["freed"]:
        yield f"too few fetches or frees to show anything: {found}"
    if not found["slow fetches"] + found["discarded"]:
        yield f"no fetch was slow: {found}"
