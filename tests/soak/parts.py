"""Prompts with a part that crashes the engines that answer them."""

from __future__ import annotations

import random
import typing

from tests.soak import callers
from tests.soak import crashes
from tests.soak import releases

if typing.TYPE_CHECKING:
    from tests.soak import serving

# From the fifth crash on the part is refused, once instances have heard.
CRASHES = 5
SETTLE_S = 3.0
ALLOWED_ARRIVALS = 3
# Sound prompts are served again from this time after the fifth crash on.
RECOVERED_S = 6.0
MIN_SOUND = 20
MIN_SHARE = 0.5
SOUND = frozenset({"draft", "once"})
PAUSES_S = ((0.1, 0.4), (0.5, 1.5))
BURST = 6
BURST_PAUSE_S = 3.0
KIND = callers.Kind("crashing-part", "POST", "/draft/x", stream=True)
OK = 200


class Sender(callers.Caller):
    """A caller whose prompts have a crashing part, no two of them alike."""

    def run(self) -> None:
        """Send prompts until stopped, rarely or in bursts."""
        pause_s = self.random.choice(PAUSES_S)
        in_bursts = self.random.random() < 0.3
        while not self.stopping.is_set():
            for _ in range(BURST if in_bursts else 1):
                self.send(KIND, self.random.choice(self.instances))
            self.stopping.wait(
                BURST_PAUSE_S if in_bursts else self.random.uniform(*pause_s)
            )

    def request_of(
        self, sent: callers.Sent
    ) -> tuple[dict[str, str], bytes | None]:
        """Return the headers and the body of a request."""
        headers, body = super().request_of(sent)
        # One or two crashing parts, by the run.
        part = f"{crashes.PART}{self.random.randrange(1 + self.number % 2)}"
        shared = [f"{part}:300", "aa:600"]
        if self.number % 3:
            shared.reverse()
        own = f"f{self.number:x}{len(self.sent):x}:100"
        headers["Prefix-Hash"] = ",".join((*shared, own))
        return headers, body


def ends_engines(seed: int) -> bool:
    """Return whether all engines of a run end without a crashing part."""
    return seed % 3 == 0


def draw_ends(seed: int, seconds: float) -> list[float]:
    """Return when all engines of such a run end."""
    random_ = random.Random(seed)
    found = []
    at_s = random_.uniform(2.0, 4.0)
    while at_s < seconds - 2 * RECOVERED_S and len(found) < 3:
        found.append(at_s)
        at_s += random_.uniform(2.0, 5.0)
    return found


def check(
    deployment: serving.Deployment, sent: list[callers.Sent]
) -> typing.Iterator[str]:
    """Yield each broken promise, one sentence each."""
    by_part: dict[str, list[float]] = {}
    for crash in deployment.crashes:
        if crash.path.startswith(crashes.PART):
            by_part.setdefault(crash.path, []).append(crash.at_s)
    bounds_s = {
        part: sorted(times_s)[:CRASHES][-1]
        for part, times_s in by_part.items()
    }
    for part, times_s in by_part.items():
        if len(times_s) >= CRASHES:
            yield from check_arrivals(
                deployment, sent, part, bounds_s[part] + SETTLE_S
            )
    last_s = [*bounds_s.values(), *deployment.ended_together_s]
    if last_s:
        yield from check_sound(deployment, sent, max(last_s) + RECOVERED_S)


def check_arrivals(
    deployment: serving.Deployment,
    sent: list[callers.Sent],
    part: str,
    bound_s: float,
) -> typing.Iterator[str]:
    """Yield that a crashing part reached engines too often."""
    by_id = {one.id: one for one in sent}
    late = [
        request.headers["request-id"]
        for worker in list(deployment.past)
        for request, arrived_s in zip(
            worker.addressed, worker.arrived_s, strict=False
        )
        if arrived_s > bound_s
        and part in crashes.parts_of(request)
        and releases.is_in_touch(
            deployment, by_id[request.headers["request-id"]]
        )
    ]
    if len(late) > ALLOWED_ARRIVALS:
        yield f"{part} reached engines {len(late)} times too late: {late}"


def check_sound(
    deployment: serving.Deployment, sent: list[callers.Sent], from_s: float
) -> typing.Iterator[str]:
    """Yield that too few prompts without a crashing part were served."""
    sound = [
        one
        for one in sent
        if one.kind.name in SOUND
        and one.sent_s > from_s
        and releases.is_in_touch(deployment, one)
    ]
    served = sum(one.status == OK for one in sound)
    if len(sound) >= MIN_SOUND and served < MIN_SHARE * len(sound):
        yield f"{served} of {len(sound)} sound prompts were served"
