"""Wrappers that record calls in the time line.

Each wraps a service that one package uses from another, so that neither
package depends on the time line.
"""

from __future__ import annotations

import dataclasses
import typing

from briarseam.admission import idempotency
from briarseam.cache import state as cache
from briarseam.claims import messages as claims
from briarseam.claims import records
from briarseam.timeline import kinds

if typing.TYPE_CHECKING:
    from briarseam import verdict
    from briarseam.routing import service as routing
    from briarseam.timeline import ring as rings


@dataclasses.dataclass(frozen=True)
class RecordingClaims:
    """Claims that record each claimed key and each attempt's end.

    Attributes
    ----------
    inner
        The wrapped claims.
    ring
        This agent's events.
    """

    inner: idempotency.Claims
    ring: rings.Ring

    def claim(
        self, organisation: str, key: str, body_digest: bytes, attempt: str
    ) -> claims.Result:
        """Claim a key for an attempt."""
        result = self.inner.claim(organisation, key, body_digest, attempt)
        self.ring.note(
            kinds.Kind.CLAIMED,
            organisation=organisation,
            key=key,
            attempt=attempt,
            result=outcome_name(result),
        )
        return result

    def settle(
        self,
        organisation: str,
        key: str,
        attempt: str,
        end: records.Outcome | verdict.NotRun | verdict.MayHaveRun,
        answer_id: str = "",
    ) -> None:
        """Settle a claim with the end of its attempt."""
        self.ring.note(
            kinds.Kind.CLAIM_ENDED,
            organisation=organisation,
            key=key,
            attempt=attempt,
            end=outcome_name(end),
        )
        self.inner.settle(organisation, key, attempt, end, answer_id)


@dataclasses.dataclass(frozen=True)
class RecordingKeptCache:
    """Kept cache, as routing uses it, that records each import.

    Attributes
    ----------
    inner
        The wrapped kept cache.
    ring
        This agent's events.
    endpoint_at
        Returns the name of the endpoint at an address, or ``""``.
    """

    inner: routing.KeptCache
    ring: rings.Ring
    endpoint_at: typing.Callable[[str], str]

    def plan(
        self,
        organisation: str,
        model: str,
        adapter: str,
        version: str,
        chain: typing.Sequence[bytes],
        cached_pieces: int,
        session: str = "",
    ) -> cache.Plan:
        """Return the plan of the blocks that a prompt could import."""
        return self.inner.plan(
            organisation,
            model,
            adapter,
            version,
            chain,
            cached_pieces,
            session,
        )

    def engine_salt(self, organisation: str, adapter: str) -> str:
        """Return the salt under which an engine names prefixes."""
        return self.inner.engine_salt(organisation, adapter)

    def import_to(
        self, address: str, plan: cache.Plan, max_s: float
    ) -> cache.Imported:
        """Have an endpoint import a plan's blocks, and wait for the result.

        Parameters
        ----------
        address
            Address of the endpoint.
        plan
            The blocks.
        max_s
            Longest wait, in seconds.
        """
        imported = self.inner.import_to(address, plan, max_s)
        self.ring.note(
            kinds.Kind.IMPORTED,
            endpoint=self.endpoint_at(address),
            version=plan.version,
            planned=len(plan.blocks),
            pieces=imported.pieces,
            bytes=imported.bytes,
            failed=imported.failed,
        )
        return imported


def outcome_name(value: object) -> str:
    """Return the lower-case class name of an outcome."""
    return type(value).__name__.lower()
