"""Signed call context that a target passes on with its own calls.

The token identifies a call that is running at this instance. The data of the
call (workspace, priority, deadline, allowance) stays in the node's table. So a
token reveals nothing to the target, becomes invalid when its call ends, and is
not accepted by any other node.
"""

from __future__ import annotations

import base64
import binascii
import dataclasses
import hashlib
import hmac

import msgpack

from currantcart import errors

TOKEN_CHARS_MAX = 512
MAC_BYTES = 16
KEY_PURPOSE = b"currantcart call context v1"


@dataclasses.dataclass(frozen=True, slots=True)
class Claims:
    """Content of a token.

    Attributes:
      instance: Instance that issued the token; no other one accepts it.
      incarnation: Start of that instance; after a restart it no longer
        accepts the token.
      call_id: The call for whose target the token was issued.
      expires_ms: Time from which it is expired, on the issuer's clock.
    """

    instance: str
    incarnation: int
    call_id: str
    expires_ms: float


def derive_key(fleet_secret: bytes) -> bytes:
    """Returns the signing key for call contexts."""
    return hmac.digest(fleet_secret, KEY_PURPOSE, hashlib.sha256)


def mac_of(key: bytes, payload: bytes) -> bytes:
    """Returns the signature of a payload.

    Keyed BLAKE2 (RFC 7693) is a MAC by itself and costs less than HMAC,
    which sets up two hashes; each call signs one token.
    """
    return hashlib.blake2s(payload, key=key, digest_size=MAC_BYTES).digest()


def sign(key: bytes, claims: Claims) -> str:
    """Encodes and signs claims as a token."""
    payload = msgpack.packb(
        (
            claims.instance,
            claims.incarnation,
            claims.call_id,
            claims.expires_ms,
        )
    )
    mac = mac_of(key, payload)
    return base64.urlsafe_b64encode(mac + payload).decode("ascii")


def invalid(detail: str) -> errors.Refusal:
    """Returns the refusal for a token that is not accepted."""
    return errors.Refusal(
        errors.Code.CONTEXT_INVALID,
        errors.Step.AUTHENTICATE,
        f"call context: {detail}",
        not_run=True,
    )


def verify(
    key: bytes, text: str, *, instance: str, incarnation: int, now: float
) -> Claims:
    """Checks a token and returns its claims.

    Raises:
      errors.Refusal: It is malformed, forged, expired or issued by another
        instance.
    """
    if len(text) > TOKEN_CHARS_MAX:
        raise invalid("too long")
    try:
        raw = base64.urlsafe_b64decode(text.encode("ascii"))
    except (binascii.Error, ValueError):
        raise invalid("malformed") from None
    mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not hmac.compare_digest(mac, mac_of(key, payload)):
        raise invalid("the signature does not match")
    claims = Claims(*msgpack.unpackb(payload))
    if claims.instance != instance or claims.incarnation != incarnation:
        raise invalid("issued by another instance")
    if claims.expires_ms <= now:
        raise invalid("expired")
    return claims
