"""Failure detection and gossip over a simulated network with loss."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantcart import errors
from currantcart.membership import detector, messages, model, table

TICK_MS = 100.0


def own(number: int) -> model.Member:
    return model.Member(
        instance=f"n{number}", incarnation=1, started=1,
        status=model.Status.ALIVE, peers=f"a{number}", admin="",
        failure_domain="d", region="r", service="s", slots=1, ramp_ms=0.0,
        revision=0,
    )  # fmt: skip


class Net:
    """Detectors joined by a simulated network with loss and partitions."""

    def __init__(self, count: int, *, loss: float = 0.0, seed: int = 1) -> None:
        self.now = 0.0
        self.loss = loss
        self.rng = random.Random(seed)
        self.down: set[str] = set()
        self.partitioned: set[str] = set()
        self.max_datagram_bytes = 0
        self.nodes = {
            f"a{n}": detector.Detector(
                members=table.MemberTable(own=own(n), now=0.0),
                seeds=["a0", "a1"],
                rng=random.Random(seed * 1_000 + n),
                now=0.0,
            )
            for n in range(count)
        }

    def reaches(self, one: str, other: str) -> bool:
        return (
            other in self.nodes
            and not {one, other} & self.down
            and (one in self.partitioned) == (other in self.partitioned)
            and self.rng.random() >= self.loss
        )

    def send(self, sender: str, outgoing: list[detector.Outgoing]) -> None:
        for item in outgoing:
            size = len(messages.encode(b"k" * 32, item.datagram))
            self.max_datagram_bytes = max(self.max_datagram_bytes, size)
            if self.reaches(sender, item.address):
                peer = self.nodes[item.address]
                self.send(item.address, peer.receive(item.datagram, self.now))
                for unknown in peer.take_unknown_senders():
                    self.compare(item.address, unknown.sender_address)

    def compare(self, one: str, other: str) -> None:
        """Compares two tables, as nodes do over a stream."""
        here, there = self.nodes[one].table, self.nodes[other].table
        here.merge_table(there.members(), self.now)
        there.merge_table(here.members(), self.now)

    def run(self, seconds: float) -> None:
        end = self.now + seconds * 1_000
        while self.now < end:
            self.now += TICK_MS
            for address, node in self.nodes.items():
                if address not in self.down:
                    self.send(address, node.tick(self.now))

    def status(self, seen_by: int, of: int) -> model.Status | None:
        entry = self.nodes[f"a{seen_by}"].table.entries.get(f"n{of}")
        return entry.member.status if entry else None

    def all_alive(self) -> bool:
        return all(
            self.status(a, b) is model.Status.ALIVE
            for a in range(len(self.nodes))
            for b in range(len(self.nodes))
        )


def test_all_members_are_known_to_all() -> None:
    net = Net(12)
    net.run(12)
    assert net.all_alive()
    assert net.max_datagram_bytes <= messages.DATAGRAM_BYTES_MAX


@pytest.mark.parametrize("seed", range(5))
def test_lost_datagrams_confirm_no_one_dead(seed: int) -> None:
    """With a fifth of the datagrams lost for a minute, nobody is dead."""
    net = Net(12, loss=0.2, seed=seed + 1)
    net.run(20)
    dead_or_missing = set()
    for _ in range(40):
        net.run(1)
        dead_or_missing |= {
            (a, b)
            for a in range(12)
            for b in range(12)
            if net.status(a, b) in (None, model.Status.DEAD)
        }
    assert dead_or_missing == set()


def test_dead_instance_is_known_to_all_within_seconds() -> None:
    """An instance stops without a leave message."""
    net = Net(12)
    net.run(10)
    net.down.add("a5")
    net.run(8)
    seen = {net.status(n, 5) for n in range(12) if n != 5}
    assert seen == {model.Status.DEAD}


def test_leaving_instance_is_known_at_once() -> None:
    net = Net(12)
    net.run(10)
    leaving = net.nodes["a5"]
    leaving.table.announce(
        dataclasses.replace(leaving.table.own, status=model.Status.LEAVING),
        net.now,
    )
    net.send("a5", leaving.broadcast_updates())
    seen = {net.status(n, 5) for n in range(12) if n != 5}
    assert seen == {model.Status.LEAVING}


def test_paused_instance_comes_back_under_a_new_incarnation() -> None:
    """An instance is paused for ten seconds and resumes."""
    net = Net(8)
    net.run(10)
    net.down.add("a3")
    net.run(10)
    net.down.clear()
    net.run(15)
    assert net.all_alive()
    assert net.nodes["a3"].table.own.incarnation > 1


def test_partition_sides_merge_after_healing() -> None:
    """A partition of minutes, in which each side confirms the other dead."""
    net = Net(10)
    net.run(10)
    net.partitioned = {f"a{n}" for n in range(1, 6)}
    net.run(180)
    assert net.status(0, 1) in (model.Status.DEAD, None)
    net.partitioned = set()
    net.run(40)
    assert net.all_alive()


def test_revision_is_recorded_and_not_disseminated() -> None:
    """All members change revision with each edit, 1,600 times a day."""
    net = Net(6)
    net.run(30)
    net.nodes["a0"].revision = 7
    net.run(5)
    entry = net.nodes["a1"].table.entries["n0"]
    assert entry.member.revision == 7
    assert entry.sends_left == 0


def test_older_update_never_wins() -> None:
    members = table.MemberTable(own=own(0), now=0.0)
    members.merge(dataclasses.replace(own(1), incarnation=5), 0.0)
    stale = dataclasses.replace(own(1), incarnation=4, status=model.Status.DEAD)
    assert not members.merge(stale, 0.0)
    assert members.entries["n1"].member.status is model.Status.ALIVE


@given(st.binary(max_size=300))
def test_any_datagram_decodes_or_gives_a_coded_error(data: bytes) -> None:
    with pytest.raises(errors.StreamError):
        messages.decode(b"k" * 32, data)


def test_datagram_survives_the_wire_and_no_other_secret() -> None:
    node = Net(1).nodes["a0"]
    datagram = node.build(messages.Kind.PING, sequence=3)
    data = messages.encode(b"k" * 32, datagram)
    assert messages.decode(b"k" * 32, data) == datagram
    with pytest.raises(errors.StreamError):
        messages.decode(b"o" * 32, data)
