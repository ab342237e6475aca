"""Evidence about prompts that may crash endpoints.

Agents exchange these items and append them to the log.
"""

from __future__ import annotations

import dataclasses
import hashlib

import msgspec

FINGERPRINT_BYTES = 16


@dataclasses.dataclass(frozen=True)
class PromptIdentity:
    """Identity of a prompt that stays the same when a caller resends it.

    Attributes
    ----------
    fingerprint
        Hex digest over organisation, model and prompt.
    organisation, model
        Organisation that sent the prompt, and the requested model.
    """

    fingerprint: str
    organisation: str
    model: str


def identify_prompt(
    organisation: str, model: str, prompt_digest: bytes
) -> PromptIdentity:
    """Return the identity of a prompt."""
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
        The endpoint that died.
    group
        Run id of the first of the prompt's runs at the endpoint.  All runs
        that are lost with the endpoint count as one loss.
    time_ms
        Time of the loss by the estimated log clock, in ms since the epoch.
    """

    fingerprint: str
    organisation: str
    model: str
    endpoint: str
    group: str
    time_ms: int


class Trial(msgspec.Struct, frozen=True, tag="trial", array_like=True):
    """A suspect prompt has started another run, its trial.

    Attributes
    ----------
    fingerprint, organisation, model, endpoint, group, time_ms
        As in :class:`EndpointLost`.
    boot_id
        The endpoint's boot id at that time; empty if unknown.
    """

    fingerprint: str
    organisation: str
    model: str
    endpoint: str
    group: str
    time_ms: int
    boot_id: str = ""


class TrialPassed(msgspec.Struct, frozen=True, tag="passed", array_like=True):
    """A trial got past the point where the earlier endpoint died."""

    group: str
    time_ms: int


class TrialEnded(msgspec.Struct, frozen=True, tag="end", array_like=True):
    """A trial is over."""

    group: str
    time_ms: int


class Cleared(msgspec.Struct, frozen=True, tag="clear", array_like=True):
    """Losses that no longer count against a prompt.

    Attributes
    ----------
    fingerprint, organisation
        The prompt.
    groups
        The losses, named by their groups.
    operator
        Operator who lifted the condemnation; empty when the prompt finished
        at another endpoint.
    time_ms
        Time of the clearing, in ms since the epoch.
    """

    fingerprint: str
    organisation: str
    groups: tuple[str, ...]
    operator: str
    time_ms: int


Item = EndpointLost | Trial | TrialPassed | TrialEnded | Cleared
