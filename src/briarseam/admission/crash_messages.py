"""Messages between agents about prompts that may crash endpoints."""

from __future__ import annotations

import dataclasses
import enum

from briarseam.wire import codec


@codec.message("prompt-held")
@dataclasses.dataclass(frozen=True)
class Hold:
    """Tell a prompt's owner that a run of it is granted an endpoint.

    Attributes
    ----------
    fingerprint, run, endpoint
        The run.
    """

    fingerprint: str
    run: str
    endpoint: str


@codec.message("prompt-hold-copied")
@dataclasses.dataclass(frozen=True)
class HoldCopy:
    """Tell who would own the prompt next of a run that is held.

    Attributes
    ----------
    fingerprint, run, endpoint, group
        As in the messages between an agent and the owner.
    """

    fingerprint: str
    run: str
    endpoint: str
    group: str


@codec.message("prompt-holding")
@dataclasses.dataclass(frozen=True)
class Holding:
    """Where the prompt's runs belong.

    Attributes
    ----------
    endpoint
        All its runs go there for now.
    group
        Run id of the first of them.
    suspect
        Whether an endpoint was lost with it.
    """

    endpoint: str
    group: str
    suspect: bool


@codec.message("prompt-released")
@dataclasses.dataclass(frozen=True)
class Release:
    """Tell a prompt's owner that a run of it is over.

    Attributes
    ----------
    fingerprint, run
        The run.
    whole
        Whether it finished.
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
    """Reply that carries nothing but that the message was taken in."""


@codec.message("prompt-accused")
@dataclasses.dataclass(frozen=True)
class Accuse:
    """Tell the keeper of trials what was found.

    Attributes
    ----------
    items
        Encoded as in the log's records.
    """

    items: bytes


@codec.message("trial-asked")
@dataclasses.dataclass(frozen=True)
class AskTrial:
    """Ask the keeper whether a suspect may be tried once more.

    Attributes
    ----------
    fingerprint, organisation, model, run
        What is to be tried.
    endpoints
        Where it may be, the best first.
    wait_s
        How long to wait for a place, in seconds.
    items
        What the asker knows of the prompt.
    """

    fingerprint: str
    organisation: str
    model: str
    run: str
    endpoints: tuple[str, ...]
    wait_s: float
    items: bytes = b""


class TrialWord(enum.StrEnum):
    """The keeper's word."""

    GRANTED = "granted"
    BUSY = "busy"
    CLEAR = "clear"
    CONDEMNED = "condemned"


@codec.message("trial-answered")
@dataclasses.dataclass(frozen=True)
class TrialAnswered:
    """The keeper's answer.

    Attributes
    ----------
    word
        What may be done.
    run, endpoint
        The trial and where it is, when granted.
    groups
        The losses that it may clear.
    items
        The losses that condemn, when condemned.
    """

    word: TrialWord
    run: str = ""
    endpoint: str = ""
    groups: tuple[str, ...] = ()
    items: bytes = b""
