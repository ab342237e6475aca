"""Names of kept blocks, which separate organisations and weight versions.

The key of a piece is a keyed hash over organisation, model, adapter, weight
version and the piece's chain digest, so a block of another organisation or
version has a different key and can't match.  A block's name in the store is
its key plus a nonce that is never reused, so a name never refers to different
bytes.  The name also contains the depth and the hashes of the group (one
session of one organisation) and the variant (model, adapter and version),
from which an agent that has lost its index rebuilds it.
"""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import hmac
import secrets
import struct
import typing

ORGANISATION_BYTES = 4
SESSION_BYTES = 8
GROUP_BYTES = ORGANISATION_BYTES + SESSION_BYTES
VARIANT_BYTES = 4
KEY_BYTES = 16
NONCE_BYTES = 12
TAG_BYTES = 6
CACHED_KEYS = 4096
DEPTH = struct.Struct("!H")
MAX_DEPTH = 65535
LENGTH = struct.Struct("!I")
SessionHash = typing.Callable[[str, str], bytes]


@dataclasses.dataclass(frozen=True)
class BlockName:
    """The fields of a block's name.

    Attributes
    ----------
    group
        Hash of organisation and session, ``GROUP_BYTES`` long.
    variant
        Hash of model, adapter and weight version.
    depth
        Number of pieces before this one in the prompt.
    key
        Key that a piece of a prompt has to match.
    nonce
        Distinguishes copies of one piece; never reused.
    """

    group: bytes
    variant: bytes
    depth: int
    key: bytes
    nonce: bytes


def length_prefixed(parts: typing.Iterable[str]) -> bytes:
    """Return the parts, each prefixed by its length.

    The prefixes make different splits of the same text differ.
    """
    data = [part.encode() for part in parts]
    return b"".join(LENGTH.pack(len(part)) + part for part in data)


class Names:
    """Creates and parses names under one secret.

    Parameters
    ----------
    secret
        Shared by all agents; names can be neither created nor matched
        without it.
    session_hash
        Hash of organisation and session, ``SESSION_BYTES`` long; a keyed
        hash by default.
    """

    def __init__(
        self, secret: bytes, session_hash: SessionHash | None = None
    ) -> None:
        self.session_hash = session_hash or self.derive_session
        self.secret = hashlib.blake2b(secret, digest_size=32).digest()
        self.variant_key = functools.lru_cache(CACHED_KEYS)(self.derive_key)
        self.variant = functools.lru_cache(CACHED_KEYS)(self.derive_variant)
        self.organisation = functools.lru_cache(CACHED_KEYS)(
            self.derive_organisation
        )

    def keyed_hash(self, label: bytes, data: bytes, size: int) -> bytes:
        """Return a keyed hash; the label separates its uses."""
        return hashlib.blake2b(
            data, digest_size=size, key=self.secret, person=label
        ).digest()

    def derive_key(
        self, organisation: str, model: str, adapter: str, version: str
    ) -> bytes:
        """Return the hash key for the pieces of a variant."""
        data = length_prefixed((organisation, model, adapter, version))
        return self.keyed_hash(b"pieces", data, 32)

    def derive_variant(self, model: str, adapter: str, version: str) -> bytes:
        """Return the hash of model, adapter and weight version."""
        data = length_prefixed((model, adapter, version))
        return self.keyed_hash(b"variant", data, VARIANT_BYTES)

    def derive_organisation(self, organisation: str) -> bytes:
        """Return the hash of an organisation."""
        data = organisation.encode()
        return self.keyed_hash(b"organisation", data, ORGANISATION_BYTES)

    def derive_session(self, organisation: str, session: str) -> bytes:
        """Return the hash of a session."""
        data = length_prefixed((organisation, session))
        return self.keyed_hash(b"session", data, SESSION_BYTES)

    def group(self, organisation: str, session: str) -> bytes:
        """Return the hash of an organisation and one of its sessions."""
        session_hash = self.session_hash(organisation, session)
        return self.organisation(organisation) + session_hash

    def salt(self, organisation: str) -> str:
        """Return the cache salt that engines get for an organisation."""
        return self.keyed_hash(b"salt", organisation.encode(), 16).hex()

    def keys(
        self,
        organisation: str,
        model: str,
        adapter: str,
        version: str,
        chain: typing.Sequence[bytes],
    ) -> typing.Iterator[bytes]:
        """Yield the key of each piece of a chain, computed lazily.

        Guard: a hit across organisations or versions would expose another
        organisation's text, or produce tokens that the weights don't
        generate.  Both are part of the hash key, so no index and no store
        has a block under the key of such a request.
        """
        secret = self.variant_key(organisation, model, adapter, version)
        for digest in chain:
            yield hashlib.blake2b(
                digest, digest_size=KEY_BYTES, key=secret
            ).digest()

    def new_name(
        self, group: bytes, variant: bytes, depth: int, key: bytes
    ) -> BlockName:
        """Return a unique name for a block."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        return BlockName(group, variant, depth, key, nonce)

    def pack(self, name: BlockName) -> bytes:
        """Return a name as bytes, without its tag."""
        depth = DEPTH.pack(min(name.depth, MAX_DEPTH))
        return name.group + name.variant + depth + name.key + name.nonce

    def format(self, packed: bytes) -> str:
        """Return the text form of a packed name, as used by stores."""
        tag = self.keyed_hash(b"tag", packed, TAG_BYTES)
        return (
            packed[:-NONCE_BYTES].hex()
            + "-"
            + (packed[-NONCE_BYTES:] + tag).hex()
        )

    def parse(self, text: str) -> bytes | None:
        """Return the packed name, ``None`` if another system wrote it.

        Guard: a store may hold blocks of other systems, which would be
        deleted when the store fills if they were mistaken for blocks of
        this one.  The tag is keyed, so only names that were created with
        the agents' secret are accepted.
        """
        front, _, back = text.partition("-")
        try:
            data = bytes.fromhex(front + back)
        except ValueError:
            return None
        packed, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if len(packed) != PACKED_BYTES:
            return None
        expected = self.keyed_hash(b"tag", packed, TAG_BYTES)
        return packed if hmac.compare_digest(tag, expected) else None


PACKED_BYTES = (
    GROUP_BYTES + VARIANT_BYTES + DEPTH.size + KEY_BYTES + NONCE_BYTES
)
VARIANT_OFFSET = GROUP_BYTES
DEPTH_OFFSET = VARIANT_OFFSET + VARIANT_BYTES
KEY_OFFSET = DEPTH_OFFSET + DEPTH.size
NONCE_OFFSET = KEY_OFFSET + KEY_BYTES


def unpack(packed: bytes) -> BlockName:
    """Return the fields of a packed name."""
    return BlockName(
        group=packed[:VARIANT_OFFSET],
        variant=packed[VARIANT_OFFSET:DEPTH_OFFSET],
        depth=DEPTH.unpack_from(packed, DEPTH_OFFSET)[0],
        key=packed[KEY_OFFSET:NONCE_OFFSET],
        nonce=packed[NONCE_OFFSET:],
    )


def store_rank(group: bytes, store: str) -> bytes:
    """Return a store's rank for a group; the lowest is preferred."""
    data = group + store.encode()
    return hashlib.blake2b(data, digest_size=SESSION_BYTES).digest()
