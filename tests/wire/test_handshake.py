"""The handshake admits peers with the fleet secret and a common version."""

from __future__ import annotations

import pytest

from currantcart import errors
from currantcart.wire import handshake, messages


def pair(
    *, other_secret: bytes = b"secret"
) -> tuple[handshake.Handshake, handshake.Handshake]:
    return (
        handshake.Handshake(
            role=handshake.Role.DIALER, instance="a", fleet_secret=b"secret"
        ),
        handshake.Handshake(
            role=handshake.Role.ACCEPTOR,
            instance="b",
            fleet_secret=other_secret,
        ),
    )


def shake(
    dialer: handshake.Handshake, acceptor: handshake.Handshake
) -> messages.Message | None:
    """Exchanges the messages and returns the acceptor's proof."""
    assert acceptor.receive(dialer.hello()) is None
    proof = dialer.receive(acceptor.hello())
    assert proof is not None
    return acceptor.receive(proof)


def test_both_sides_prove_the_secret() -> None:
    dialer, acceptor = pair()
    answer = shake(dialer, acceptor)
    assert answer is not None
    dialer.receive(answer)
    assert (dialer.done, acceptor.done) == (True, True)
    assert (dialer.peer, acceptor.peer) == ("b", "a")


def test_peer_without_the_secret_gets_nothing() -> None:
    dialer, acceptor = pair(other_secret=b"other")
    with pytest.raises(errors.StreamError) as caught:
        shake(dialer, acceptor)
    assert caught.value.code is errors.Code.HANDSHAKE_FAILED
    assert not acceptor.done


def test_reflected_proof_is_refused() -> None:
    """A peer without the secret echoes the acceptor's own messages."""
    _, acceptor = pair()
    acceptor.receive(acceptor.hello())
    with pytest.raises(errors.StreamError):
        acceptor.receive(
            messages.Proof(acceptor.proof_of(handshake.Role.ACCEPTOR))
        )


def test_unsupported_versions_are_named() -> None:
    _, acceptor = pair()
    with pytest.raises(errors.StreamError) as caught:
        acceptor.receive(messages.Hello(7, 9, "a", b"n" * 16))
    assert caught.value.code is errors.Code.VERSION_UNSUPPORTED
    assert "7 to 9" in caught.value.detail


def test_call_before_the_handshake_is_refused() -> None:
    _, acceptor = pair()
    with pytest.raises(errors.StreamError):
        acceptor.receive(messages.Fetch(0))
