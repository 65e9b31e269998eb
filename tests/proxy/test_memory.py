"""Resident memory against the limit of the process."""

from __future__ import annotations

import functools

import pytest

from currantcart import held_bytes
from currantcart.proxy import memory
from currantcart.telemetry import exposition
from tests.fakes import mesh as fake_mesh


def logged(mesh: fake_mesh.Mesh) -> list[str]:
    return [line for line in mesh.lines if "event=memory_" in line]


async def test_memory_near_the_limit_is_logged_before_a_kill(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a kill by the limit that looks like any other."""
    place = await mesh.add("a")
    await mesh.settle()
    limit = place.settings.memory_mb * held_bytes.MIB
    for used in (0.85, 0.79, 0.85, 0.95, 0.95, 0.6, 0.85):
        place.node.memory.read = functools.partial(int, used * limit)
        await mesh.settle(2.0)
    texts = [line.partition("event=")[2] for line in logged(mesh)]
    assert [text.split()[0] for text in texts] == [
        "memory_high",
        "memory_high",
        "memory_eased",
        "memory_high",
    ]
    assert "share=0.85 held_bytes=0 caller_connections=0 streams=0" in texts[0]
    text = exposition.render(place.node.context.counts).decode()
    assert "currantcart_resident_bytes" in text


async def test_high_memory_is_written_at_once(mesh: fake_mesh.Mesh) -> None:
    """Guards against a last line that is lost in the buffer."""
    place = await mesh.add("a")
    await mesh.settle()
    watch = memory.MemoryWatch(
        place.node.context, read=lambda: 290 * held_bytes.MIB
    )
    watch.check()
    assert logged(mesh)


def test_resident_memory_is_read() -> None:
    assert 5 * held_bytes.MIB < memory.resident_bytes() < 2**40


def test_resident_memory_is_unknown_without_its_file(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a sweep that fails where /proc can't be read."""
    monkeypatch.setattr(memory, "STATM", "/nowhere/statm")
    assert memory.resident_bytes() == 0
