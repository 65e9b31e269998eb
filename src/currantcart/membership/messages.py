"""Gossip datagrams: msgpack arrays authenticated with the fleet secret."""

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
    """Kinds of datagrams; the numbers are part of the format."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """One gossip datagram.

    Attributes:
      kind: Ping, ack or ping request.
      sequence: Sequence number that matches an ack to its ping.
      sender: Instance that sends the datagram.
      sender_address: Gossip address of the sender.
      subject: For a ping request, address of the member to ping.
      revision: Configuration revision in force at the sender.
      updates: Piggybacked membership updates.
    """

    kind: Kind
    sequence: int
    sender: str
    sender_address: str
    subject: str
    revision: int
    updates: tuple[model.Member, ...]


def derive_key(fleet_secret: bytes) -> bytes:
    """Returns the key for the MAC of datagrams."""
    return hmac.digest(fleet_secret, KEY_PURPOSE, hashlib.sha256)


def member_fields(member: model.Member) -> tuple[Any, ...]:
    """Returns the fields of a member in the order of the format."""
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
      ValueError: The number of fields or a type is wrong.
    """
    if not isinstance(fields, list) or len(fields) != len(MEMBER_TYPES):
        raise ValueError("a member has the wrong number of fields")
    for value, allowed in zip(fields, MEMBER_TYPES, strict=True):
        if not isinstance(value, allowed):
            raise ValueError(
                f"a member field has the wrong type {type(value).__name__}"
            )
    status = model.Status(fields[3])
    values: list[Any] = [*fields[:3], status, *fields[4:]]
    return model.Member(*values)


def encode(key: bytes, datagram: Datagram) -> bytes:
    """Returns the bytes of a datagram: the MAC and the packed fields."""
    payload: bytes = msgpack.packb(
        (
            int(datagram.kind),
            datagram.sequence,
            datagram.sender,
            datagram.sender_address,
            datagram.subject,
            datagram.revision,
            [member_fields(member) for member in datagram.updates],
        )
    )
    mac = hmac.digest(key, payload, hashlib.sha256)[:MAC_BYTES]
    return mac + payload


def decode(key: bytes, data: bytes) -> Datagram:
    """Verifies the MAC of a datagram and decodes it.

    Raises:
      errors.StreamError: The MAC is wrong or the fields do not decode.
    """
    mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
    expected = hmac.digest(key, payload, hashlib.sha256)[:MAC_BYTES]
    if not hmac.compare_digest(mac, expected):
        raise errors.StreamError(
            errors.Code.HANDSHAKE_FAILED, "MAC of a gossip datagram is wrong"
        )
    try:
        kind, sequence, sender, address, subject, revision, updates = (
            msgpack.unpackb(payload)
        )
        return Datagram(
            kind=Kind(kind),
            sequence=int(sequence),
            sender=str(sender),
            sender_address=str(address),
            subject=str(subject),
            revision=int(revision),
            updates=tuple(read_member(fields) for fields in updates),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise errors.StreamError(
            errors.Code.FRAME_INVALID,
            f"cannot decode a gossip datagram: {error}",
        ) from error
