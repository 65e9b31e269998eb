"""The signed call context that a target passes on with its own calls.

The token names a call that runs at this instance right now; what belongs to
the call (workspace, priority, deadline, allowance) stays in the node's table.
So a token says nothing to the target, dies with its call, and is worthless at
any other node.
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
    """What a token says.

    Attributes:
      instance: Instance that issued it and alone accepts it.
      incarnation: Start of that instance; a restarted one accepts none.
      call_id: The call at whose target it was handed out.
      expires_ms: Last moment on the issuer's own clock.
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
    """Returns the token for claims."""
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
      errors.Refusal: It is malformed, forged, expired or from elsewhere.
    """
    if len(text) > TOKEN_CHARS_MAX:
        raise invalid("too long")
    try:
        raw = base64.urlsafe_b64decode(text.encode("ascii"))
    except (binascii.Error, ValueError):
        raise invalid("malformed") from None
    mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not hmac.compare_digest(mac, mac_of(key, payload)):
        raise invalid("signature does not match")
    claims = Claims(*msgpack.unpackb(payload))
    if claims.instance != instance or claims.incarnation != incarnation:
        raise invalid("issued by another instance")
    if claims.expires_ms <= now:
        raise invalid("expired")
    return claims
