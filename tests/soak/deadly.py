"""A request that crashes endpoints, while all that knows of it ends."""

from __future__ import annotations

import random
import typing

from tests.soak import callers
from tests.soak import crashes

if typing.TYPE_CHECKING:
    import http.client

    from tests.soak import serving

# Sound requests are served again so long after the last fault.
RECOVERED_S = 6.0
# Without faults at the end of a run: then it shows who is served.
CALM_S = RECOVERED_S + 4.0
MIN_SOUND = 20
MIN_SHARE = 0.5
SOUND = frozenset({"status", "draft", "once", "submit"})
PAUSES_S = ((0.05, 0.3), (0.5, 1.5), (1.5, 3.0))
LEAVE_AFTER_S = (0.02, 0.08)
CRASH_AFTER_S = (0.1, 0.2)
KINDS = (
    callers.Kind("crash", "GET", f"/status/{crashes.PREFIX}-0"),
    callers.Kind("crash", "POST", f"/submit/{crashes.PREFIX}-0", once=True),
    callers.Kind("crash", "POST", f"/draft/{crashes.PREFIX}-0", stream=True),
)
OK = 200


def draws(seed: int) -> random.Random:
    """Return what draws the request of a run."""
    return random.Random(f"{seed}/deadly")


def crash_after_s(seed: int) -> float:
    """Return how long an endpoint runs the request before it crashes."""
    return 0.0 if seed % 2 else draws(seed).uniform(*CRASH_AFTER_S)


class Repeater(callers.Caller):
    """A caller that sends one request all the time, and may leave early."""

    def __init__(self, number: int, seed: int, *args: typing.Any) -> None:
        super().__init__(number, seed, *args)
        self.leaves = seed % 2 == 0
        drawn = draws(seed)
        self.kind = drawn.choice(KINDS)
        self.pause_s = drawn.choice(PAUSES_S)
        self.own_part = f"b{drawn.randrange(40)}"

    def run(self) -> None:
        """Send the request until stopped."""
        while not self.stopping.is_set():
            self.send(self.kind, self.random.choice(self.instances))
            self.stopping.wait(self.random.uniform(*self.pause_s))

    def new_connection(
        self, host: str, port: int
    ) -> http.client.HTTPConnection:
        """Return a connection whose caller leaves early, or not."""
        connection = super().new_connection(host, port)
        if self.leaves and self.random.random() < 0.8:
            connection.timeout = self.random.uniform(*LEAVE_AFTER_S)
        return connection

    def request_of(
        self, sent: callers.Sent
    ) -> tuple[dict[str, str], bytes | None]:
        """Return the headers and the body of a request."""
        headers, body = super().request_of(sent)
        if sent.kind.stream:
            # Some of the sound prompts share the first parts.
            headers["Prefix-Hash"] = f"aa:600,{self.own_part}:400,f0:100"
        return headers, None if body is None else b"the same"


def check(
    deployment: serving.Deployment, sent: list[callers.Sent]
) -> typing.Iterator[str]:
    """Yield each broken promise, one sentence each.

    No fault excuses an arrival.
    """
    if deployment.last_fault_s is None:
        return
    by_path: dict[str, list[float]] = {}
    for crash in deployment.crashes:
        by_path.setdefault(crash.path, []).append(crash.at_s)
    for path, times_s in by_path.items():
        if len(times_s) >= crashes.LIMIT:
            bound_s = sorted(times_s)[crashes.LIMIT - 1] + crashes.SETTLE_S
            yield from check_arrivals(deployment, path, bound_s)
    yield from check_sound(sent, deployment.last_fault_s + RECOVERED_S)


def check_arrivals(
    deployment: serving.Deployment, path: str, bound_s: float
) -> typing.Iterator[str]:
    """Yield that a request reached endpoints too often."""
    late = [
        f"{request.headers['request-id']} +{arrived_s - bound_s:.1f} s"
        for worker in list(deployment.past)
        for request, arrived_s in zip(
            worker.addressed, worker.arrived_s, strict=False
        )
        if arrived_s > bound_s and crashes.cause_of(request) == path
    ]
    if len(late) > crashes.ALLOWED_REPEATS:
        yield f"{path} reached endpoints {len(late)} times too late: {late}"


def check_sound(
    sent: list[callers.Sent], from_s: float
) -> typing.Iterator[str]:
    """Yield that too few sound requests were served after the faults."""
    sound = [
        one for one in sent if one.kind.name in SOUND and one.sent_s > from_s
    ]
    served = sum(one.status == OK for one in sound)
    if len(sound) >= MIN_SOUND and served < MIN_SHARE * len(sound):
        yield f"{served} of {len(sound)} sound requests were served"
