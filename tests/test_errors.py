"""Error codes of peers, and the text of errors."""

from __future__ import annotations

from currantcart import errors


def test_unknown_codes_of_a_newer_peer_are_mapped() -> None:
    """Versions are mixed while the fleet is upgraded instance by instance."""
    assert errors.Code.of("overloaded") is errors.Code.OVERLOADED
    assert errors.Code.of("invented_later") is errors.Code.INTERNAL
    assert errors.Step.of("invented_later") is errors.Step.WIRE


def test_error_is_one_line_with_code_step_and_peer() -> None:
    error = errors.StreamError(
        errors.Code.PEER_LOST, "stream was lost", peer="permits-1"
    )
    assert str(error) == (
        "[peer_lost] stream was lost (step=wire peer=permits-1)"
    )
