"""The codec of calls that forwarding uses."""

from __future__ import annotations

from briarseam.platform import requests


class CallCodec:
    """Decodes callers' requests and encodes them for endpoints."""

    decode_call = staticmethod(requests.decode_call)
    encode_headers = staticmethod(requests.encode_headers)
    encode_relayed = staticmethod(requests.encode_relayed)
