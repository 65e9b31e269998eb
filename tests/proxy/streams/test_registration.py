"""Entries in the store: of the own process before, and of other writers."""

from __future__ import annotations

import gc
import json
from typing import Any

import msgspec
import pytest

from currantcart.platform import names
from currantcart.proxy.streams import registration
from tests.fakes import mesh as fake_mesh

ODD_ADDRESSES = [
    "10.0.0.9:99999999",
    "10.0.0.9:0",
    "10.0.0.9",
    "10.0.0.9:" + "9" * 400,
    "a" * 70 + ".example:80",
    "peer.example:80",
    "10.0.0.9:\u00b2",
    "",
]


def entry(instance: str = "odd", **target: Any) -> bytes:
    """Returns the entry of a node with a report of its target."""
    report = {
        "target_id": "t-odd",
        "born": 1_000,
        "sequence": 1,
        "phase": "ready",
        "service": "grades",
        "slots": 20,
        "cold_ms": 0.0,
        **target,
    }
    member = [instance, "p9", "10.0.0.9:7000", "grades", "a"]
    return json.dumps({"member": member, "target": report}).encode()


@pytest.mark.parametrize(
    "address",
    ODD_ADDRESSES,
    ids=["large", "zero", "none", "digits", "long", "name", "sign", "empty"],
)
async def test_an_entry_whose_address_cannot_be_dialled_is_skipped(
    mesh: fake_mesh.Mesh, address: str
) -> None:
    """Guards against look-ups, and tasks that end with an exception."""
    found = mesh.loop.record_unhandled()
    key = f"{names.NODES_PREFIX}odd"
    member = ["odd", "p9", address, "grades", "a"]
    mesh.store.operate(key, json.dumps({"member": member}).encode())
    front = await mesh.add("a", service="other")
    await mesh.add("b")
    await mesh.settle(5.0)
    gc.collect()
    assert not found
    assert list(front.node.peers.by_instance) == ["b"]
    lines = [line for line in mesh.lines if "event=entry_unreadable" in line]
    assert f"key={key}" in lines[0]
    assert (await mesh.ask(front, fake_mesh.request())).status == 200


@pytest.mark.parametrize(
    "value",
    [
        entry(born=10**30),
        entry(sequence=10**400),
        entry(slots=-1),
        entry(cold_ms=1e308),
        entry(target_id="t\r\nx: 1"),
        entry(instance="c"),
        entry(instance="n" * 100_000),
    ],
    ids=["born", "sequence", "slots", "cold", "id", "another", "long"],
)
async def test_an_entry_out_of_range_is_skipped(
    mesh: fake_mesh.Mesh, value: bytes
) -> None:
    """Guards against a peer that no node has announced."""
    mesh.store.operate(f"{names.NODES_PREFIX}odd", value)
    front = await mesh.add("a", service="other")
    await mesh.add("b")
    await mesh.settle(5.0)
    assert list(front.node.peers.by_instance) == ["b"]
    assert front.node.peers.by_instance["b"].member.process != "p9"
    assert (await mesh.ask(front, fake_mesh.request())).status == 200


async def test_the_own_entry_out_of_range_is_not_restored(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a target that no later report supersedes."""
    place = await mesh.add("a")
    await mesh.settle()
    mesh.kill(place)
    key = f"{names.NODES_PREFIX}a"
    mesh.store.operate(key, entry("a", born=10**30, phase="left"))
    await mesh.restart(place)
    await mesh.settle()
    assert await mesh.report(place) == 200
    assert await mesh.report(place) == 200
    assert (await mesh.ask(place, fake_mesh.request())).status == 200


async def test_an_unreadable_entry_is_logged_once_for_each_write(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a log that one entry fills with each read."""
    key = f"{names.NODES_PREFIX}odd"
    mesh.store.operate(key, b"{")
    await mesh.add("a")
    await mesh.settle(10.0)

    def logged() -> int:
        return len([line for line in mesh.lines if "entry_unreadable" in line])

    assert logged() == 1
    mesh.store.operate(key, b"[")
    await mesh.settle(10.0)
    assert logged() == 2
    mesh.store.remove(key)
    await mesh.settle(10.0)
    mesh.store.operate(key, b"{")
    await mesh.settle(10.0)
    assert logged() == 3


def logged(mesh: fake_mesh.Mesh) -> list[str]:
    return [line for line in mesh.lines if "event=previous_process " in line]


async def test_first_start_finds_no_previous_process(
    mesh: fake_mesh.Mesh,
) -> None:
    await mesh.add("a")
    await mesh.settle()
    assert not logged(mesh)


async def test_start_after_a_kill_logs_an_unclean_end(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against an end of which nothing tells."""
    place = await mesh.add("a")
    await mesh.settle()
    before = place.node.context.process
    await mesh.restart(place)
    await mesh.settle()
    (line,) = logged(mesh)
    assert f"process={before} clean=false written_ms_ago=" in line


async def test_start_after_a_requested_end_logs_a_clean_end(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a planned restart that looks like a crash."""
    place = await mesh.add("a")
    await mesh.settle()
    before = place.node.context.process
    writes = mesh.store.made("put")
    await place.node.drain()
    await place.node.stop()
    assert mesh.store.made("put") - writes == 1
    await mesh.restart(place)
    await mesh.settle()
    (line,) = logged(mesh)
    assert f"process={before} clean=true" in line


async def test_unreachable_store_does_not_delay_the_end(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against an end that waits for a mark in the store."""
    place = await mesh.add("a")
    await mesh.settle()
    mesh.store.refusing = True
    await mesh.settle(5.0)
    writes = mesh.store.made("put")
    await place.node.drain()
    assert mesh.store.made("put") == writes


async def test_entries_of_earlier_releases_are_read(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a rolling restart whose nodes can't read each other."""
    place = await mesh.add("a")
    member = place.node.peers.member
    old = msgspec.json.encode({"member": member, "target": None})
    entry = registration.ENTRY.decode(old)
    assert (entry.written_ms, entry.ending) == (0.0, False)

    class OldEntry(msgspec.Struct):
        member: list[str]

    new = msgspec.json.encode(registration.Entry(member, None, 1.0, True))
    assert msgspec.json.decode(new, type=OldEntry).member[0] == "a"
