"""Selection of the relays of a failure domain."""

from __future__ import annotations

from currantcart.fleet import relays

LATE = relays.RELAY_SILENT_MS


def updated(succession: relays.Succession, *silences: float) -> tuple[str, ...]:
    succession.update(
        (name, silence) for name, silence in zip("abcd", silences, strict=True)
    )
    return succession.current


def test_the_first_two_live_nodes_relay() -> None:
    succession = relays.Succession()
    assert updated(succession, 0.0, 100.0, 0.0, 0.0) == ("a", "b")


def test_the_next_takes_the_place_of_a_silent_one() -> None:
    succession = relays.Succession()
    updated(succession, 0.0, 0.0, 0.0, 0.0)
    assert updated(succession, LATE - 1, 0.0, 0.0, 0.0) == ("a", "b")
    assert updated(succession, LATE, 0.0, 0.0, 0.0) == ("b", "c")


def test_a_node_behind_relays_is_not_passed_over_early() -> None:
    """What is known of it has come through a relay and is older."""
    succession = relays.Succession()
    updated(succession, 0.0, 0.0, LATE + 200, 0.0)
    assert updated(succession, LATE, 0.0, LATE + 200, 0.0) == ("b", "c")


def test_a_silent_relay_stays_passed_over_until_it_is_received() -> None:
    """Guards against a relay that is dropped and selected in turn."""
    succession = relays.Succession()
    updated(succession, 0.0, 0.0, 0.0, 0.0)
    for silence in (LATE, LATE + 50, LATE + 100):
        assert updated(succession, silence, 0.0, 0.0, 0.0) == ("b", "c")
    assert updated(succession, 20.0, 0.0, 0.0, 0.0) == ("a", "b")


def test_without_live_nodes_there_are_no_relays() -> None:
    succession = relays.Succession()
    late = 10 * LATE
    assert updated(succession, late, late, late, late) == ()


def test_a_change_is_reported_once() -> None:
    succession = relays.Succession()
    candidates = [("a", 0.0), ("b", 0.0)]
    assert succession.update(candidates)
    assert not succession.update(candidates)
