"""Requests that peers send for the local target."""

from __future__ import annotations

from currantcart.proxy.streams import frames
from currantcart.proxy.targets import inbound
from tests.fakes import mesh as fake_mesh


async def test_parts_beyond_the_announced_body_are_not_kept(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against memory of a peer's parts that no account holds."""
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    back.target.script = fake_mesh.silent
    caller = await mesh.connect(front)
    caller.send(fake_mesh.request("/pay/1", method="POST", body=b"x" * 100_000))
    await mesh.settle(0.1)
    (item,) = front.node.peers.dialled
    (number,) = item.calls
    for _ in range(100):
        item.send(frames.Data(number, b"x" * 10_000))
    await mesh.settle(0.1)
    (accepted,) = back.node.peers.accepted
    (arrival,) = accepted.calls.values()
    assert isinstance(arrival, inbound.Arrival)
    assert not arrival.chunks
    assert back.target.seen[0].body == b"x" * 100_000
    caller.leave()
