"""A node's entry in the store: what a start finds of the process before."""

from __future__ import annotations

import msgspec

from currantcart.proxy.streams import registration
from tests.fakes import mesh as fake_mesh


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
