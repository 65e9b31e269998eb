"""The table of a relay, and the division into live and silent processes."""

from __future__ import annotations

import random

from currantcart.fleet import digest


def lacking(
    table: digest.Table[str], cursor: int, domain: str = "a"
) -> dict[str, tuple[str, bool, dict[str, int]]]:
    return {
        row.process: (row.entry.info, row.complete, row.counts)
        for row in table.lacking(domain, cursor)
    }


def test_a_new_stream_gets_everything_and_then_differences() -> None:
    table: digest.Table[str] = digest.Table()
    table.record("p1", "a", "one", {"mill": 3, "shop": 1})
    table.record("p2", "a", "two", {})
    table.record("p3", "b", "three", {"mill": 9})
    assert lacking(table, 0) == {
        "p1": ("one", True, {"mill": 3, "shop": 1}),
        "p2": ("two", True, {}),
    }
    cursor = table.sequence
    table.record("p1", "a", "one again", {"mill": 4})
    assert lacking(table, cursor) == {"p1": ("one again", False, {"mill": 4})}
    assert lacking(table, table.sequence) == {}


def test_a_process_that_a_peer_never_had_is_complete() -> None:
    """Guards against counts taken for a difference to nothing."""
    table: digest.Table[str] = digest.Table()
    table.record("p1", "a", "one", {})
    cursor = table.sequence
    table.record("p2", "a", "two", {"mill": 1})
    table.record("p2", "a", "two", {"shop": 1})
    assert lacking(table, cursor) == {
        "p2": ("two", True, {"mill": 1, "shop": 1})
    }


def test_any_cursors_lead_to_the_same_counts() -> None:
    """Each stream gets digests at times of its own, none may miss a change."""
    rng = random.Random(4)
    table: digest.Table[str] = digest.Table()
    known: list[dict[str, dict[str, int]]] = [{} for _ in range(5)]
    cursors = [0] * 5
    for step in range(400):
        process = f"p{rng.randrange(6)}"
        names = rng.sample(["mill", "shop", "inn"], rng.randrange(3))
        table.record(process, "a", "", dict.fromkeys(names, step))
        stream = rng.randrange(5)
        for row in table.lacking("a", cursors[stream]):
            if row.complete:
                assert row.process not in known[stream]
            known[stream].setdefault(row.process, {}).update(row.counts)
        cursors[stream] = table.sequence
    for stream, cursor in enumerate(cursors):
        for row in table.lacking("a", cursor):
            known[stream].setdefault(row.process, {}).update(row.counts)
        assert known[stream] == {
            process: entry.counts for process, entry in table.entries.items()
        }


def test_a_removed_process_is_told_once_and_then_forgotten() -> None:
    """A receiver would otherwise take it for live for ever."""
    table: digest.Table[str] = digest.Table()
    table.record("p1", "a", "one", {"mill": 3})
    cursor = table.sequence
    table.remove("p1", 1_000.0)
    (row,) = table.lacking("a", cursor)
    assert row.entry.removed_at == 1_000.0
    assert lacking(table, 0) == {}
    table.expire(1_000.0 + digest.REMOVED_MS)
    assert "p1" in table.entries
    table.expire(1_001.0 + digest.REMOVED_MS)
    assert "p1" not in table.entries


def test_a_process_that_comes_back_after_its_removal_is_complete() -> None:
    table: digest.Table[str] = digest.Table()
    table.record("p1", "a", "one", {"mill": 3})
    table.remove("p1", 1_000.0)
    cursor = table.sequence
    table.record("p1", "a", "two", {"shop": 2})
    assert lacking(table, cursor) == {"p1": ("two", True, {"shop": 2})}


def test_the_oldest_evidence_of_the_live_ones_counts() -> None:
    survey = digest.survey(
        [("p1", 900.0), ("p2", 700.0), ("p3", 400.0)],
        now=1_000.0,
        silent_ms=digest.LOCAL_SILENT_MS,
    )
    assert survey == digest.Survey(300.0, ("p3",))


def test_relays_that_report_to_each_other_keep_nothing_alive() -> None:
    """Guards against an echo: a silent process that two relays vouch for."""
    heard = {"first": 0.0, "second": 0.0}
    for now in range(0, 2_000, 50):
        for sender, receiver in (("first", "second"), ("second", "first")):
            survey = digest.survey(
                [("p1", heard[sender])],
                now=now,
                silent_ms=digest.LOCAL_SILENT_MS,
            )
            if not survey.silent:
                heard[receiver] = max(heard[receiver], now - survey.age_ms)
    assert heard == {"first": 0.0, "second": 0.0}


def test_each_hop_has_time_for_its_digest() -> None:
    """A limit below the one of the hop before would count live ones."""
    step = digest.DIGEST_MS + 2 * 50.0
    assert digest.LOCAL_SILENT_MS + step <= digest.FORWARDED_SILENT_MS
    assert digest.FORWARDED_SILENT_MS + step <= digest.PEER_SILENT_MS
    assert digest.PEER_SILENT_MS + 50.0 <= 1_200.0
    assert digest.DOMAIN_SILENT_MS + 50.0 <= 600.0
    assert digest.DOMAIN_SILENT_IDLE_MS > digest.DOMAIN_SILENT_MS
