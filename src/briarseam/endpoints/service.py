"""Client of plain services, for an entry."""

from __future__ import annotations

import dataclasses

import urllib3

from briarseam import bounded_http
from briarseam import transfers
from briarseam.endpoints import engine

CONNECT_TIMEOUT_S = 1.0
HTTP_UNAVAILABLE = 503
MAX_ANSWER_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """Answer of a service to a call.

    Attributes
    ----------
    status
        HTTP status.
    body
        Body of the answer.
    content_type
        Media type of the body.
    replayed
        Whether it repeats an earlier answer to the same idempotency key.
    """

    status: int
    body: bytes
    content_type: str
    replayed: bool = False


class ServiceClient:
    """Calls plain services, with a new connection for each call."""

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
            Identifies the run in the service's own records.
        body
            JSON body.
        timeout_s
            Timeout of the answer, in seconds.

        Raises
        ------
        endpoints.engine.NotSentError
            If the service has not received the call.
        endpoints.engine.LostError
            If the call may have been executed.
        """
        host, _, port = address.rpartition(":")
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        # No reused connections, retries or redirects: if the service closes
        # a reused connection while the request is being written, or the
        # library follows a redirect, one booking could be made twice.
        pool = bounded_http.ConnectionPool(
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
            data = read_body(response)
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


def read_body(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the complete body of an answer.

    Raises
    ------
    endpoints.engine.LostError
        If it is too long, or ends with its connection: whether that was
        closed at the end of the answer or before is not known.
    """
    if transfers.framing_of(response) is transfers.Framing.CONNECTION:
        raise engine.LostError("the answer has neither a length nor chunks")
    data = response.read(MAX_ANSWER_BYTES)
    if response.read(1):
        raise engine.LostError(
            f"the answer is longer than {MAX_ANSWER_BYTES} bytes"
        )
    return data
