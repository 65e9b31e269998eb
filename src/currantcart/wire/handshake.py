"""Handshake of a stream: version and proof of the fleet secret.

Pure: messages in, messages out. Each side proves that it holds the secret
over both nonces and both names, so a proof serves on one stream, in one
direction, once.
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
    """Which side opened the stream."""

    DIALER = "dialer"
    ACCEPTOR = "acceptor"


class Handshake:
    """State of one side until the stream is open.

    Attributes:
      peer: Instance on the other side; empty before its hello.
      version: Wire version agreed on; 0 before it.
      done: Whether messages other than the handshake's may flow.
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
        """Returns the proof that a side must show."""
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
        """Takes a message of the handshake.

        Returns:
          The message to send in return, if any.

        Raises:
          errors.StreamError: The peer speaks no common version, lacks the
            secret, or sends something else.
        """
        if isinstance(message, messages.Hello) and not self.peer:
            return self.receive_hello(message)
        if isinstance(message, messages.Proof) and self.peer:
            other = Role.ACCEPTOR if self.role is Role.DIALER else Role.DIALER
            if not hmac.compare_digest(message.mac, self.proof_of(other)):
                raise self.failed("the peer does not hold the fleet secret")
            self.done = True
            # The acceptor proves itself last: a stranger that dials learns
            # nothing that it could send elsewhere.
            if self.role is Role.ACCEPTOR:
                return messages.Proof(self.proof_of(self.role))
            return None
        raise self.failed(f"unexpected {type(message).__name__}")

    def receive_hello(self, hello: messages.Hello) -> messages.Message | None:
        """Takes the peer's hello."""
        version = min(VERSION_MAX, hello.version_max)
        if version < max(VERSION_MIN, hello.version_min):
            raise errors.StreamError(
                errors.Code.VERSION_UNSUPPORTED,
                f"peer speaks wire versions {hello.version_min} to "
                f"{hello.version_max}, allowed: {VERSION_MIN} to {VERSION_MAX}",
                peer=hello.instance,
            )
        if len(hello.nonce) != NONCE_BYTES or not hello.instance:
            raise self.failed("malformed hello")
        self.version = version
        self.peer = hello.instance
        self.peer_nonce = hello.nonce
        if self.role is Role.DIALER:
            return messages.Proof(self.proof_of(self.role))
        return None

    def failed(self, detail: str) -> errors.StreamError:
        """Returns the error that ends the stream."""
        return errors.StreamError(
            errors.Code.HANDSHAKE_FAILED, detail, peer=self.peer
        )
