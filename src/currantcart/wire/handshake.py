"""Handshake of a stream: version negotiation and mutual authentication.

It does no input or output: messages in, messages out. Each side proves that it
holds the fleet secret with a MAC over its role, the version, both names and
both nonces, so a proof is valid once, on one stream and in one direction.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import secrets

from currantcart import errors
from currantcart.wire import messages

VERSION_MIN = 1
VERSION_MAX = 1
NONCE_BYTES = 16
KEY_PURPOSE = b"currantcart stream v1"


class Role(enum.StrEnum):
    """Role of a side: the dialer opened the stream."""

    DIALER = "dialer"
    ACCEPTOR = "acceptor"


class Handshake:
    """Handshake state of one side of a stream.

    Attributes:
      peer: Instance on the other side; empty before its hello.
      version: Negotiated wire version; 0 before the peer's hello.
      done: Whether the peer has proved the secret, so that other messages
        are accepted.
    """

    def __init__(
        self, *, role: Role, instance: str, fleet_secret: bytes
    ) -> None:
        self.role = role
        self.instance = instance
        self.key = hmac.digest(fleet_secret, KEY_PURPOSE, hashlib.sha256)
        self.nonce = secrets.token_bytes(NONCE_BYTES)
        self.peer = ""
        self.peer_nonce = b""
        self.version = 0
        self.done = False

    def hello(self) -> messages.Hello:
        """Returns this side's first message."""
        return messages.Hello(
            VERSION_MIN, VERSION_MAX, self.instance, self.nonce
        )

    def proof_of(self, role: Role) -> bytes:
        """Returns the MAC that the side with a role must send."""
        dialer = (self.instance, self.nonce)
        acceptor = (self.peer, self.peer_nonce)
        if self.role is Role.ACCEPTOR:
            dialer, acceptor = acceptor, dialer
        text = b"\0".join(
            [
                role.encode(),
                str(self.version).encode(),
                dialer[0].encode(),
                dialer[1].hex().encode(),
                acceptor[0].encode(),
                acceptor[1].hex().encode(),
            ]
        )
        return hmac.digest(self.key, text, hashlib.sha256)

    def receive(self, message: messages.Message) -> messages.Message | None:
        """Handles a handshake message.

        Returns:
          The message to send in reply, if any.

        Raises:
          errors.StreamError: There is no common wire version, the peer does
            not hold the secret, or the message is unexpected.
        """
        if isinstance(message, messages.Hello) and not self.peer:
            return self.receive_hello(message)
        if isinstance(message, messages.Proof) and self.peer:
            other = Role.ACCEPTOR if self.role is Role.DIALER else Role.DIALER
            if not hmac.compare_digest(message.mac, self.proof_of(other)):
                raise self.failed(
                    "wrong proof of the fleet secret from the peer"
                )
            self.done = True
            # The acceptor sends its proof last, so that an unauthenticated
            # dialer obtains no proof that it could replay elsewhere.
            if self.role is Role.ACCEPTOR:
                return messages.Proof(self.proof_of(self.role))
            return None
        raise self.failed(f"unexpected message {type(message).__name__}")

    def receive_hello(self, hello: messages.Hello) -> messages.Message | None:
        """Handles the hello of the peer and negotiates the version."""
        version = min(VERSION_MAX, hello.version_max)
        if version < max(VERSION_MIN, hello.version_min):
            raise errors.StreamError(
                errors.Code.VERSION_UNSUPPORTED,
                f"peer supports wire versions {hello.version_min} to "
                f"{hello.version_max}, local: {VERSION_MIN} to {VERSION_MAX}",
                peer=hello.instance,
            )
        if len(hello.nonce) != NONCE_BYTES or not hello.instance:
            raise self.failed(
                "malformed hello: no instance or wrong nonce length"
            )
        self.version = version
        self.peer = hello.instance
        self.peer_nonce = hello.nonce
        if self.role is Role.DIALER:
            return messages.Proof(self.proof_of(self.role))
        return None

    def failed(self, detail: str) -> errors.StreamError:
        """Returns the error for a failed handshake."""
        return errors.StreamError(
            errors.Code.HANDSHAKE_FAILED, detail, peer=self.peer
        )
