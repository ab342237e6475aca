"""Letting the faults of a plan strike a deployment."""

from __future__ import annotations

import contextlib
import signal
import threading
import time
import typing

from tests.platform import worker as workers
from tests.soak import cache_faults
from tests.soak import faults
from tests.soak import freeing
from tests.soak import links
from tests.soak import paths
from tests.soak import processes
from tests.soak import serving

# More than an endpoint gets in a run.
REJECTIONS = 100_000

Crowd = typing.Callable[
    [processes.Instance], contextlib.AbstractContextManager[None]
]
Rush = typing.Callable[[], contextlib.AbstractContextManager[None]]


class Injector:
    """Lets the faults of a plan strike a deployment.

    Parameters
    ----------
    deployment
        What is struck.
    planned
        The faults, by time.
    crowd
        Lets callers keep an instance busy.
    rush
        Lets the callers of a large organisation send requests.
    """

    def __init__(
        self,
        deployment: serving.Deployment,
        planned: list[faults.Planned],
        crowd: Crowd,
        rush: Rush,
    ) -> None:
        self.deployment = deployment
        self.planned = planned
        self.crowd = crowd
        self.rush = rush
        # Two faults on one thing take turns.
        self.locks: dict[object, threading.Lock] = {}

    def run(self) -> None:
        """Let all strike; return when the last has ended."""
        began = time.monotonic()
        threads = []
        for one in self.planned:
            time.sleep(max(0.0, began + one.at_s - time.monotonic()))
            thread = threading.Thread(target=self.strike, args=(one,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def lock_of(self, thing: object) -> threading.Lock:
        """Return the lock of what a fault strikes."""
        return self.locks.setdefault(thing, threading.Lock())

    def strike(self, one: faults.Planned) -> None:
        """Let one fault strike."""
        match one.fault:
            case faults.StoreTrouble() | faults.StoreRestored():
                with self.lock_of("store"):
                    self.strike_store(one.fault, one.for_s)
            case faults.StoreCut(number, state, reset):
                instance = self.deployment.instances[number]
                with self.lock_of(("store link", number)):
                    self.excuse(instance, one.for_s)
                    cut(instance.to_store, state, reset, one.for_s)
                    self.excuse(instance)
            case faults.EndpointCut(number, state, reset):
                with self.lock_of(("endpoint", number)):
                    link = self.deployment.endpoints[number].link
                    cut(link, state, reset, one.for_s)
            case (
                faults.EndpointReplaced(number)
                | faults.EndpointLeaves(number)
                | faults.RateLimited(number)
                | faults.LeavesByAnswer(number)
                | faults.BackoffRequested(number)
                | faults.AnswersFramed(number)
                | faults.SoftwareReleased(number)
                | faults.SlowedDown(number)
                | faults.AnswersWithoutEnd(number)
            ):
                endpoint = self.deployment.endpoints[number]
                with self.lock_of(("endpoint", number)):
                    self.trouble_endpoint(one.fault, endpoint, one.for_s)
            case faults.Misbehaviour(number, switch):
                worker = self.deployment.endpoints[number].worker
                worker.set(**{switch: faults.MISBEHAVIOUR[switch]})
            case faults.EnginesEnded(service):
                self.deployment.end_service(service)
            case (
                faults.Reconfigured()
                | faults.Evacuated()
                | faults.Isolated()
                | faults.WeightsReplaced()
            ):
                self.change_records(one.fault, one.for_s)
            case (
                faults.PathsCut()
                | faults.ServiceFragile()
                | faults.StoppedInTurn()
                | faults.InstancesKilled()
                | faults.Contended()
                | cache_faults.Freeing()
            ):
                self.strike_many(one.fault, one.for_s)
            case (
                faults.Paused(number)
                | faults.Ended(number)
                | faults.Reloaded(number)
            ):
                instance = self.deployment.instances[number]
                with self.lock_of(("instance", number)):
                    self.excuse(instance, one.for_s)
                    self.trouble_instance(one.fault, instance, one.for_s)
                    self.excuse(instance)

    def strike_many(
        self,
        fault: faults.PathsCut
        | faults.ServiceFragile
        | faults.StoppedInTurn
        | faults.InstancesKilled
        | faults.Contended
        | cache_faults.Freeing,
        for_s: float,
    ) -> None:
        """Strike several instances or endpoints."""
        match fault:
            case faults.PathsCut(numbers, kind):
                self.cut_paths(numbers, kind, for_s)
            case faults.ServiceFragile(service):
                with self.lock_of(("fragile", service)):
                    self.weaken(fault, for_s)
            case faults.StoppedInTurn():
                self.stop_in_turn(fault, for_s)
            case faults.InstancesKilled(numbers, gap_s):
                self.kill(numbers, gap_s, for_s)
            case cache_faults.Freeing():
                with self.lock_of(fault):
                    freeing.strike(self.deployment, fault, for_s)
            case faults.Contended():
                with self.lock_of("contention"), self.rush():
                    time.sleep(for_s)

    def kill(
        self, numbers: tuple[int, ...], gap_s: float, for_s: float
    ) -> None:
        """Kill instances at once or in turn, and start them again."""
        struck = [self.deployment.instances[number] for number in numbers]
        with contextlib.ExitStack() as stack:
            for number in sorted(numbers):
                stack.enter_context(self.lock_of(("instance", number)))
            for instance in struck:
                self.excuse(instance, for_s + gap_s * len(struck))
            groups = [[one] for one in struck] if gap_s else [struck]
            for group in groups:
                for instance in group:
                    instance.end(signal.SIGKILL)
                time.sleep(for_s)
                for instance in group:
                    instance.start()
                time.sleep(gap_s)
            for instance in struck:
                self.excuse(instance)

    def cut_paths(
        self, numbers: tuple[int, ...], kind: paths.CutKind, for_s: float
    ) -> None:
        """Cut some instances off from all endpoints for a while."""
        struck = [self.deployment.instances[number] for number in numbers]
        with contextlib.ExitStack() as stack:
            # In one order, so that two cuts don't wait for each other.
            for number in sorted(numbers):
                stack.enter_context(self.lock_of(("paths", number)))
            names = frozenset(instance.name for instance in struck)
            cut = paths.PathCut(names, time.monotonic())
            self.deployment.path_cuts.append(cut)
            for instance in struck:
                instance.paths.cut(kind)
            time.sleep(for_s)
            cut.ended_s = time.monotonic()
            for instance in struck:
                instance.paths.heal()

    def weaken(self, fault: faults.ServiceFragile, for_s: float) -> None:
        """Let the endpoints of a service have little room for a while."""
        struck = [
            endpoint.worker
            for endpoint in self.deployment.endpoints
            if endpoint.service == fault.service
        ]
        began_s = time.monotonic()
        for worker in struck:
            worker.set(brittle=str(fault.per_s))
        time.sleep(faults.STABLE_S)
        for worker in struck:
            worker.set(room=fault.room, work_ms=20)
        time.sleep(max(0.0, for_s - faults.STABLE_S))
        ended_s = time.monotonic()
        for worker in struck:
            worker.set(brittle="", room=0, work_ms=0)
        self.deployment.fragile.append(
            serving.Fragile(tuple(struck), fault.per_s, began_s, ended_s)
        )

    def change_records(
        self,
        fault: faults.Reconfigured
        | faults.Evacuated
        | faults.Isolated
        | faults.WeightsReplaced,
        for_s: float,
    ) -> None:
        """Change what operators have written."""
        match fault:
            case faults.Isolated(organisations, keyless):
                self.deployment.isolate(organisations, keyless)
            case faults.WeightsReplaced():
                self.deployment.replace_weights()
            case faults.Reconfigured(toggled):
                self.deployment.configure(toggled)
            case faults.Evacuated(zone):
                with self.lock_of(("zone", zone)):
                    self.deployment.evacuate(zone)
                    time.sleep(for_s)
                    self.deployment.end_evacuation(zone)

    def stop_in_turn(self, fault: faults.StoppedInTurn, for_s: float) -> None:
        """Stop instances one after the other and start them again."""
        threads = []
        for number in fault.instances:
            thread = threading.Thread(
                target=self.stop, args=(fault, number, for_s)
            )
            thread.start()
            threads.append(thread)
            time.sleep(fault.gap_s)
        for thread in threads:
            thread.join()

    def stop(
        self, fault: faults.StoppedInTurn, number: int, for_s: float
    ) -> None:
        """Stop one instance and start it again."""
        instance = self.deployment.instances[number]
        with self.lock_of(("instance", number)):
            busy = contextlib.nullcontext()
            with self.crowd(instance) if fault.crowded else busy:
                self.excuse(instance, instance.shutdown_s)
                instance.end(signal.SIGTERM, fault.again_s)
            time.sleep(for_s / 3)
            instance.start()
            if fault.early_s:
                time.sleep(fault.early_s)
                self.excuse(instance, instance.shutdown_s)
                instance.end(signal.SIGTERM)
                instance.start()
            self.excuse(instance)

    def excuse(self, instance: processes.Instance, for_s: float = 0.0) -> None:
        """Expect nothing in time from an instance for a while."""
        until = time.monotonic() + for_s + faults.STABLE_S
        instance.troubled_until = max(instance.troubled_until, until)

    def strike_store(
        self,
        fault: faults.StoreTrouble | faults.StoreRestored,
        for_s: float,
    ) -> None:
        """Trouble the store, or let it return from a copy."""
        match fault:
            case faults.StoreTrouble(switches):
                self.trouble_store(switches, for_s)
            case faults.StoreRestored():
                self.restore_store(fault, for_s)

    def trouble_store(
        self, switches: dict[str, typing.Any], for_s: float
    ) -> None:
        """Set switches of the store and take them back."""
        store = self.deployment.store
        until = time.monotonic() + for_s + faults.STABLE_S
        self.deployment.store_troubled_until = until
        store.set(**switches)
        time.sleep(for_s)
        store.set(**faults.STORE_CALM)
        until = time.monotonic() + faults.STABLE_S
        self.deployment.store_troubled_until = until

    def restore_store(self, fault: faults.StoreRestored, for_s: float) -> None:
        """Let the store return from a copy, and others write again."""
        copy = self.deployment.store.copy()
        time.sleep(fault.age_s)
        self.trouble_store({"outage": True}, for_s / 2)
        self.deployment.store.set(outage=True)
        self.deployment.store.restore(copy)
        self.deployment.store.set(outage=False)
        time.sleep(fault.rewrite_s)
        self.deployment.write_again()
        until = time.monotonic() + faults.STABLE_S
        self.deployment.store_troubled_until = until

    def let_leave(self, endpoint: serving.Endpoint) -> None:
        """Let an endpoint say that it leaves, serve on and be replaced."""
        self.deployment.write_entry(endpoint, "draining")
        endpoint.left[endpoint.worker.id] = time.monotonic()
        time.sleep(faults.STABLE_S)
        self.deployment.replace(endpoint)

    def trouble_endpoint(
        self, fault: faults.Fault, endpoint: serving.Endpoint, for_s: float
    ) -> None:
        """Replace an endpoint, or let it say something of itself."""
        worker = endpoint.worker
        match fault:
            case faults.EndpointReplaced():
                self.deployment.replace(endpoint)
            case faults.SoftwareReleased(
                version=version, keeps_name=keeps_name
            ):
                self.deployment.release(endpoint, version, keeps_name)
            case faults.SlowedDown(factor=factor):
                self.deployment.set_pace(endpoint, factor)
                time.sleep(for_s)
                self.deployment.set_pace(endpoint)
            case faults.EndpointLeaves():
                self.let_leave(endpoint)
            case faults.RateLimited(per_s=limits):
                first_s = time.monotonic()
                for per_s in limits:
                    worker.set(limit=f"{per_s:g}")
                    began_s = time.monotonic()
                    time.sleep(for_s / len(limits))
                    ended_s = time.monotonic()
                    self.deployment.limits.append(
                        serving.Limit(
                            worker.id, per_s, first_s, began_s, ended_s
                        )
                    )
                worker.set(limit="")
            case faults.LeavesByAnswer():
                worker.set(leaving=True)
                time.sleep(faults.STABLE_S)
                self.deployment.replace(endpoint)
            case faults.BackoffRequested(backoff_s=backoff_s):
                worker.set(reject=REJECTIONS, retry_after=f"{backoff_s:.3f}")
                time.sleep(for_s)
                worker.set(reject=0, retry_after="")
            case faults.AnswersFramed() | faults.AnswersWithoutEnd():
                self.trouble_answers(fault, worker, for_s)

    def trouble_answers(
        self,
        fault: faults.AnswersFramed | faults.AnswersWithoutEnd,
        worker: workers.Worker,
        for_s: float,
    ) -> None:
        """Let an endpoint send its answers in another form."""
        match fault:
            case faults.AnswersWithoutEnd(flood=flood, pace=pace):
                worker.set(flood=flood, pace=pace, floods=fault.answers)
                time.sleep(for_s)
                worker.set(floods=0)
            case faults.AnswersFramed(form=form, cuts=cuts):
                worker.set(
                    framing=form.framing,
                    http_version=form.version,
                    cut_at=form.cut,
                    cut_by=form.ending,
                    cuts=cuts,
                    line_end=fault.line_end,
                )
                time.sleep(for_s)
                worker.set(framing="", cuts=0, line_end="\n")

    def trouble_instance(
        self, fault: faults.Fault, instance: processes.Instance, for_s: float
    ) -> None:
        """Pause, end or reload one instance."""
        match fault:
            case faults.Paused():
                began_s = time.monotonic()
                instance.send(signal.SIGSTOP)
                time.sleep(for_s)
                instance.send(signal.SIGCONT)
                instance.struck.append((began_s, time.monotonic()))
            case faults.Ended(by=by):
                if by == signal.SIGKILL:
                    now_s = time.monotonic()
                    instance.struck.append((now_s, now_s))
                instance.end(by)
                time.sleep(for_s / 3)
                instance.start()
            case faults.Reloaded(extra=extra):
                if extra == faults.BAD_SETTINGS:
                    instance.await_settings_read()
                instance.write_settings(extra)
                instance.reload()
                time.sleep(for_s)
                instance.write_settings()
                instance.reload()


def cut(
    link: links.Link, state: links.State, reset: bool, for_s: float
) -> None:
    """Cut a link for a while."""
    link.state = state
    if reset:
        link.reset()
    time.sleep(for_s)
    link.state = links.State.PASSING
    if reset:
        link.reset()
