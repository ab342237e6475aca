"""Messages between agents about prompts that may crash endpoints."""

from __future__ import annotations

import dataclasses
import enum

from briarseam.wire import codec


@codec.message("prompt-held")
@dataclasses.dataclass(frozen=True)
class Hold:
    """Notifies a prompt's owner that a run of it is granted an endpoint.

    Attributes
    ----------
    fingerprint, run, endpoint
        The prompt, the run's id and the endpoint granted.
    """

    fingerprint: str
    run: str
    endpoint: str


@codec.message("prompt-hold-copied")
@dataclasses.dataclass(frozen=True)
class HoldCopy:
    """Copies a held run to the agent that would own the prompt next.

    Attributes
    ----------
    fingerprint, run, endpoint
        As in :class:`Hold`.
    group
        As in :class:`Holding`.
    """

    fingerprint: str
    run: str
    endpoint: str
    group: str


@codec.message("prompt-holding")
@dataclasses.dataclass(frozen=True)
class Holding:
    """The owner's reply: where the prompt's runs belong.

    Attributes
    ----------
    endpoint
        Endpoint that all of the prompt's runs go to for now.
    group
        Run id of the first of them.
    suspect
        Whether an endpoint died while it ran the prompt.
    """

    endpoint: str
    group: str
    suspect: bool


@codec.message("prompt-released")
@dataclasses.dataclass(frozen=True)
class Release:
    """Notifies a prompt's owner that a run of it is over.

    Attributes
    ----------
    fingerprint, run
        The prompt and the run's id.
    whole
        Whether the run finished.
    suspect
        Whether its endpoint died.
    """

    fingerprint: str
    run: str
    whole: bool
    suspect: bool


@codec.message("prompt-noted")
@dataclasses.dataclass(frozen=True)
class PromptNoted:
    """Reply that only acknowledges a message."""


@codec.message("prompt-accused")
@dataclasses.dataclass(frozen=True)
class Accuse:
    """Sends evidence to the trial coordinator.

    Attributes
    ----------
    items
        Items of evidence, encoded as in the log's records.
    """

    items: bytes


@codec.message("trial-asked")
@dataclasses.dataclass(frozen=True)
class AskTrial:
    """Requests a trial of a suspect prompt from the trial coordinator.

    Attributes
    ----------
    fingerprint, organisation, model
        The prompt.
    run
        Id of the trial, chosen by the agent that requests it.
    endpoints
        Endpoints where it may run, the best first.
    wait_s
        How long to wait until a trial may start, in seconds.
    items
        The sender's evidence about the prompt, encoded as in the log's
        records.
    """

    fingerprint: str
    organisation: str
    model: str
    run: str
    endpoints: tuple[str, ...]
    wait_s: float
    items: bytes = b""


class TrialDecision(enum.StrEnum):
    """The trial coordinator's decision."""

    GRANTED = "granted"
    BUSY = "busy"
    CLEAR = "clear"
    CONDEMNED = "condemned"


@codec.message("trial-answered")
@dataclasses.dataclass(frozen=True)
class TrialAnswered:
    """The trial coordinator's reply.

    Attributes
    ----------
    word
        The decision.
    run, endpoint
        Id and endpoint of the trial, if it is granted.
    groups
        The losses that the trial clears if it finishes.
    items
        The losses that condemn the prompt, if it is condemned.
    """

    word: TrialDecision
    run: str = ""
    endpoint: str = ""
    groups: tuple[str, ...] = ()
    items: bytes = b""
