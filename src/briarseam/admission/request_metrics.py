"""Metrics of requests, counted from the messages that an agent handles.

Tokens are counted for each organisation separately and never summed over
organisations.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
import typing

from briarseam.admission import messages
from briarseam.wire import codec

if typing.TYPE_CHECKING:
    from briarseam.metrics import registry as registries

MAX_RUNS = 20_000
US_PER_MS = 1000.0
GRANTED = "granted"
REPLAYED = "replayed"
REFUSED = "refused"
FAILED = "failed"


@dataclasses.dataclass(frozen=True)
class GrantedRun:
    """What is needed of a run to count its start and end."""

    organisation: str
    prompt_tokens: int


class RequestMetrics:
    """Counts an agent's decisions and the progress of its runs.

    Parameters
    ----------
    registry
        Registry of the metrics.
    clock
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        registry: registries.Registry,
        clock: typing.Callable[[], float] = time.perf_counter,
    ) -> None:
        self.clock = clock
        self.decisions = registry.counters(
            "requests_total",
            "Requests that entries asked about, each try by itself",
            ("decision",),
        )
        self.refusals = registry.counters(
            "refusals_total",
            "Requests refused, by whether they ran and why",
            ("ran", "reason"),
        )
        self.admit_us = registry.latency(
            "admit_us", "Time from an entry's question to the decision"
        )
        self.first_token_us = registry.latency(
            "first_token_us",
            "Time from the caller's request to its first token",
        )
        self.prompt_tokens = registry.counters(
            "prompt_tokens_total",
            "Prompt tokens of runs that began to answer",
            ("organisation",),
        )
        self.reused_tokens = registry.counters(
            "reused_prompt_tokens_total",
            "Prompt tokens of those that the endpoint did not compute again",
            ("organisation",),
        )
        self.answer_tokens = registry.counters(
            "answer_tokens_total",
            "Tokens passed on to callers",
            ("organisation",),
        )
        self.ends = registry.counters(
            "runs_ended_total", "Granted runs by how they ended", ("result",)
        )
        self.local = threading.local()
        self.lock = threading.Lock()
        self.runs: collections.OrderedDict[str, GrantedRun] = (
            collections.OrderedDict()
        )

    def on_request(self, request: codec.Message) -> None:
        """Count a message before it is handled, in the handler's thread."""
        match request:
            case messages.Admit() | messages.AdmitCall():
                self.local.started_at = self.clock()
            case messages.RunStarted():
                self.count_start(request)
            case messages.RunEnded():
                self.count_end(request)

    def on_reply(self, request: codec.Message, reply: codec.Message) -> None:
        """Count the reply to a message, in the handler's thread."""
        if not isinstance(request, messages.Admit | messages.AdmitCall):
            return
        self.admit_us.record_s(self.clock() - self.local.started_at)
        match reply:
            case messages.Granted():
                self.decisions.labelled(GRANTED).add()
                self.track_run(request, reply)
            case messages.Replayed():
                self.decisions.labelled(REPLAYED).add()
            case messages.Refused():
                self.decisions.labelled(REFUSED).add()
                self.refusals.labelled(reply.ran, reply.reason).add()
            case _:
                self.decisions.labelled(FAILED).add()

    def track_run(
        self,
        request: messages.Admit | messages.AdmitCall,
        grant: messages.Granted,
    ) -> None:
        """Track a run until it ends; beyond the limit drop the oldest."""
        tokens = 0
        if isinstance(request, messages.Admit):
            tokens = request.prompt_tokens
        with self.lock:
            self.runs[grant.run_id] = GrantedRun(grant.organisation, tokens)
            if len(self.runs) > MAX_RUNS:
                self.runs.popitem(last=False)

    def count_start(self, started: messages.RunStarted) -> None:
        """Count the first token of a run."""
        run = self.runs.get(started.run_id)
        if run is None:
            return
        self.first_token_us.record_us(started.first_token_ms * US_PER_MS)
        self.prompt_tokens.labelled(run.organisation).add(run.prompt_tokens)
        reused = min(max(started.cached_tokens, 0), run.prompt_tokens)
        self.reused_tokens.labelled(run.organisation).add(reused)

    def count_end(self, ended: messages.RunEnded) -> None:
        """Count the end of a run; ignore repeated reports."""
        with self.lock:
            run = self.runs.pop(ended.run_id, None)
        if run is None:
            return
        self.ends.labelled(ended.result.value).add()
        tokens = max(ended.tokens, 0)
        self.answer_tokens.labelled(run.organisation).add(tokens)
