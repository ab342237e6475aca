"""The plain service, seen by an entry: one call, its answer or its loss."""

from __future__ import annotations

import dataclasses

import urllib3

from briarseam.endpoints import engine

CONNECT_TIMEOUT_S = 1.0
HTTP_UNAVAILABLE = 503
MAX_ANSWER_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """What the service answered.

    Attributes
    ----------
    status
        HTTP status.
    body
        Its bytes.
    content_type
        Its media type.
    replayed
        Whether it is the answer that the call's key was given before.
    """

    status: int
    body: bytes
    content_type: str
    replayed: bool = False


class ServiceClient:
    """Calls plain services, each call over a connection of its own."""

    def call(
        self,
        address: str,
        call: str,
        run_id: str,
        body: bytes,
        timeout_s: float,
    ) -> ServiceAnswer:
        """Make one call.

        Parameters
        ----------
        address
            ``ip:port`` of the endpoint.
        call
            Name of the call.
        run_id
            Name of this run, for the service's own records.
        body
            JSON bytes.
        timeout_s
            Longest wait for the answer.

        Raises
        ------
        endpoints.engine.NotSentError, endpoints.engine.LostError
            As for engines.
        """
        host, _, port = address.rpartition(":")
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        # A fresh connection for each call, no retries and no redirects: a
        # reused connection that the service closes while the request is
        # written, or a redirect followed by the library, could send one
        # booking twice.
        pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False, timeout=timeout
        )
        headers = {
            "Content-Type": "application/json",
            "Connection": "close",
            "X-Run-Id": run_id,
        }
        try:
            response = pool.urlopen(
                "POST",
                f"/calls/{call}",
                body=body,
                headers=headers,
                redirect=False,
                preload_content=False,
            )
            data = response.read(MAX_ANSWER_BYTES)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise engine.NotSentError(str(error)) from error
        except urllib3.exceptions.HTTPError as error:
            raise engine.LostError(str(error)) from error
        finally:
            pool.close()
        content_type = response.headers.get("Content-Type", "")
        return ServiceAnswer(response.status, data, content_type)
