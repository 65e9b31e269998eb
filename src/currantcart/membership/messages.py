"""Gossip datagrams: typed, msgpack, authenticated by the fleet secret."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import hmac
from typing import Any

import msgpack

from currantcart import errors
from currantcart.membership import model

MAC_BYTES = 16
DATAGRAM_BYTES_MAX = 1_400
KEY_PURPOSE = b"currantcart gossip v1"


class Kind(enum.IntEnum):
    """Kinds of datagrams."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram.

    Attributes:
      kind: What it asks or answers.
      sequence: Pairs an ack with its ping.
      sender: Instance that sends it.
      sender_address: Where it listens for gossip.
      subject: For a ping request, address of the member to ping.
      revision: Configuration revision in force at the sender.
      news: Members that changed lately.
    """

    kind: Kind
    sequence: int
    sender: str
    sender_address: str
    subject: str
    revision: int
    news: tuple[model.Member, ...]


def derive_key(fleet_secret: bytes) -> bytes:
    """Returns the key that authenticates datagrams."""
    return hmac.digest(fleet_secret, KEY_PURPOSE, hashlib.sha256)


def member_fields(member: model.Member) -> tuple[Any, ...]:
    """Returns a member as msgpack packs it."""
    return (
        member.instance,
        member.incarnation,
        member.started,
        int(member.status),
        member.peers,
        member.admin,
        member.failure_domain,
        member.region,
        member.service,
        member.slots,
        member.ramp_ms,
        member.revision,
    )


MEMBER_TYPES: tuple[Any, ...] = (
    str,
    int,
    int,
    int,
    str,
    str,
    str,
    str,
    str,
    int,
    (int, float),
    int,
)


def read_member(fields: object) -> model.Member:
    """Builds a member from unpacked fields.

    Raises:
      ValueError: The fields are not those of a member.
    """
    if not isinstance(fields, list) or len(fields) != len(MEMBER_TYPES):
        raise ValueError("a member has a wrong number of fields")
    for value, allowed in zip(fields, MEMBER_TYPES, strict=True):
        if not isinstance(value, allowed):
            raise ValueError(f"a member field is a {type(value).__name__}")
    status = model.Status(fields[3])
    values: list[Any] = [*fields[:3], status, *fields[4:]]
    return model.Member(*values)


def encode(key: bytes, datagram: Datagram) -> bytes:
    """Returns the bytes of a datagram."""
    payload: bytes = msgpack.packb(
        (
            int(datagram.kind),
            datagram.sequence,
            datagram.sender,
            datagram.sender_address,
            datagram.subject,
            datagram.revision,
            [member_fields(member) for member in datagram.news],
        )
    )
    mac = hmac.digest(key, payload, hashlib.sha256)[:MAC_BYTES]
    return mac + payload


def decode(key: bytes, data: bytes) -> Datagram:
    """Checks and reads a datagram.

    Raises:
      errors.StreamError: It is forged or does not decode.
    """
    mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
    expected = hmac.digest(key, payload, hashlib.sha256)[:MAC_BYTES]
    if not hmac.compare_digest(mac, expected):
        raise errors.StreamError(
            errors.Code.HANDSHAKE_FAILED, "a datagram's signature is wrong"
        )
    try:
        kind, sequence, sender, address, subject, revision, news = (
            msgpack.unpackb(payload)
        )
        return Datagram(
            kind=Kind(kind),
            sequence=int(sequence),
            sender=str(sender),
            sender_address=str(address),
            subject=str(subject),
            revision=int(revision),
            news=tuple(read_member(fields) for fields in news),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise errors.StreamError(
            errors.Code.FRAME_INVALID, f"a datagram does not decode: {error}"
        ) from error
