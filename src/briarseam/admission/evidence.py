"""What speaks for and against prompts that may crash endpoints.

Agents tell each other these items, and keep them in the log.
"""

from __future__ import annotations

import dataclasses
import hashlib

import msgspec

FINGERPRINT_BYTES = 16


@dataclasses.dataclass(frozen=True)
class PromptIdentity:
    """A prompt, known by what is the same when a caller sends it again.

    Attributes
    ----------
    fingerprint
        Hex digest over organisation, model and prompt.
    organisation, model
        Whose prompt, for which model.
    """

    fingerprint: str
    organisation: str
    model: str


def identify_prompt(
    organisation: str, model: str, prompt_digest: bytes
) -> PromptIdentity:
    """Return the case of a prompt."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (organisation.encode(), model.encode(), prompt_digest):
        digest.update(len(part).to_bytes(4, "big") + part)
    return PromptIdentity(digest.hexdigest(), organisation, model)


class EndpointLost(msgspec.Struct, frozen=True, tag="lost", array_like=True):
    """An endpoint died while it ran a prompt.

    Attributes
    ----------
    fingerprint, organisation, model
        The prompt.
    endpoint
        What died.
    group
        Run id of the first of the prompt's runs there; however many of
        them were lost with the endpoint, they count once.
    time_ms
        When, by the log's clock as far as it is known.
    """

    fingerprint: str
    organisation: str
    model: str
    endpoint: str
    group: str
    time_ms: int


class Trial(msgspec.Struct, frozen=True, tag="trial", array_like=True):
    """A suspect is being tried once more.

    Attributes
    ----------
    fingerprint, organisation, model, endpoint, group, time_ms
        As in :class:`EndpointLost`.
    boot_id
        The endpoint's start at that time, as far as it is known.
    """

    fingerprint: str
    organisation: str
    model: str
    endpoint: str
    group: str
    time_ms: int
    boot_id: str = ""


class TrialPassed(msgspec.Struct, frozen=True, tag="passed", array_like=True):
    """A trial has got further than where its endpoint died before."""

    group: str
    time_ms: int


class TrialEnded(msgspec.Struct, frozen=True, tag="end", array_like=True):
    """A trial is over."""

    group: str
    time_ms: int


class Cleared(msgspec.Struct, frozen=True, tag="clear", array_like=True):
    """Losses that do not count any more.

    Attributes
    ----------
    fingerprint, organisation
        The prompt.
    groups
        The losses.
    operator
        Who lifted it; empty when the prompt finished elsewhere.
    time_ms
        When.
    """

    fingerprint: str
    organisation: str
    groups: tuple[str, ...]
    operator: str
    time_ms: int


Item = EndpointLost | Trial | TrialPassed | TrialEnded | Cleared
