"""Simulation of a service whose endpoints a request may crash all at once."""

from __future__ import annotations

import random

from briarseam.forwarding import crash_checks
from briarseam.forwarding import outcomes
from briarseam.reachability import probing
from briarseam.reachability import tracker
from tests.crashes import crash_simulation


class DirectProber(probing.Prober):
    """Probes endpoints one after the other, without threads."""

    def check(self, endpoint):
        if not self.goes_on(endpoint):
            self.reachability.record_unreached(endpoint)

    def submit(self, endpoint, result):
        self.probe_one(endpoint, result)


class Simulation(crash_simulation.Simulation):
    """The simulation with connections that fail, and with retries.

    Parameters
    ----------
    seed
        Draws where requests go.
    attempts
        Endpoints to which a request may be sent one after the other.
    options
        See :class:`crash_simulation.Simulation`.
    """

    def __init__(self, seed, attempts=2, **options):
        super().__init__(seed, **options)
        self.attempts = attempts
        self.sends_left = {}

    def send(self, crashes):
        alive = self.alive()
        if alive:
            self.try_send(self.random.choice(alive), crashes, self.attempts)

    def try_send(self, instance, crashes, attempts):
        """Send a request to endpoints until one takes it."""
        key = crash_simulation.CRASHING
        if not crashes:
            path = f"/status/{self.random.randrange(10)}"
            key = crash_simulation.loss_keys.key_of_request(path, "north", b"")
        self.numbers += 1
        state = crash_checks.CrashState(f"r{self.numbers}", key, self.parts)
        checks = instance.checks
        refused = (
            not instance.has_configuration
            or checks.refusal_on_arrival(state) is not None
        )
        tried = set()
        while not refused:
            start = self.choose(instance, tried)
            if start is None or checks.refusal_of_send(state) is not None:
                break
            tried.add(start.id)
            up = {one.start.id: one for one in self.up()}
            if start.id in up:
                self.begin(instance, state, up[start.id], crashes, attempts)
                return
            instance.reachability.record_unreached(start)
            outcome = outcomes.Unreached("refused")
            checks.record_outcome(state, start, outcome, self.clock())
        checks.end_trial(state)
        if not crashes:
            self.sound.append((self.clock(), False))

    def choose(self, instance, tried):
        """Return an endpoint to try, by what an instance knows."""
        known = instance.reachability.reachable(self.entries.values())
        untried = [one for one in known if one.id not in tried]
        return self.random.choice(untried) if untried else None

    def begin(self, instance, state, endpoint, crashes, attempts):
        """Have an endpoint run a request."""
        now_s = self.clock()
        instance.checks.record_start(state)
        leaves_s = float("inf")
        if crashes:
            self.arrived_s.append(now_s)
            leaves_s = now_s + self.leaves_after_s
        takes_s = self.crash_after_s if crashes else crash_simulation.ANSWER_S
        run = crash_simulation.Run(
            instance,
            state,
            endpoint,
            endpoint.start,
            now_s,
            crashes,
            now_s + takes_s,
            leaves_s,
        )
        self.runs.append(run)
        self.sends_left[id(run)] = attempts - 1

    def end(self, endpoint, cause=None):
        name = endpoint.start.id
        lost = [one for one in self.runs if one.start.id == name]
        super().end(endpoint, cause)
        for run in (*lost, *([cause] if cause else [])):
            left = self.sends_left.pop(id(run), 0)
            if left and run.crashes and run.instance.is_alive:
                self.try_send(run.instance, True, left)

    def probe(self, reachability: tracker.Reachability) -> None:
        reachability.keep_only(self.entries)
        prober = DirectProber(
            reachability,
            lambda one: one.id in {up.start.id for up in self.up()},
        )
        prober.probe_all()


ROUNDS = 10
MAX_ROUND_S = 12.0
SETTLED_S = 10.0


def run_drawn(seed: int) -> Simulation:
    """Run a simulation in which a seed draws the service and what happens.

    All endpoints end by themselves, or instances are killed, or both or none.
    An endpoint may be back before its former entry has gone.
    """
    random_ = random.Random(seed)
    simulation = Simulation(
        seed,
        attempts=random_.choice((1, 2, 3)),
        endpoints=random_.choice((2, 3, 3, 4, 8)),
        down_s=random_.choice((0.6, 1.5, 3.0, 3.0, 6.0)),
        lapse_s=random_.choice((3.6, 3.6, 6.0)),
        heartbeat_s=random_.choice((0.5, 1.2)),
        crash_after_s=random_.choice((0.05, 0.1, 0.3)),
        leaves_after_s=random_.choice((0.05, 100.0, 100.0)),
        part=random_.random() < 0.3,
    )
    pause_s = random_.choice((0.05, 0.15, 0.4, 1.2, 4.0))
    ends, kills = random_.choice(
        ((False, False), (True, False), (False, True), (True, True))
    )
    for _ in range(ROUNDS):
        simulation.run(random_.uniform(1.0, MAX_ROUND_S), pause_s)
        drawn = random_.random()
        if ends and drawn < 0.5:
            simulation.end_all()
        if kills and drawn > 0.7:
            simulation.kill(range(crash_simulation.INSTANCES))
        elif kills and drawn > 0.5:
            simulation.kill([random_.randrange(crash_simulation.INSTANCES)])
    simulation.run(SETTLED_S, pause_s)
    return simulation
