"""The operators' page of requests under which targets have ended."""

from __future__ import annotations

import msgspec
import pytest

from currantcart.call import quarantine
from currantcart.proxy import control, quarantine_page
from tests.fakes import mesh as fake_mesh

FINGERPRINT = 0xAB
SHOWN = "00000000000000ab"


def page(
    place: fake_mesh.Place, method: str = "GET", query: str = ""
) -> control.ControlResponse:
    request = control.ControlRequest(method, quarantine_page.PATH + query, b"")
    return quarantine_page.answer(place.node.context, request)


def rows(place: fake_mesh.Place) -> list[quarantine_page.Row]:
    return msgspec.json.decode(page(place).body, type=list[quarantine_page.Row])


async def with_ends(mesh: fake_mesh.Mesh, count: int) -> fake_mesh.Place:
    """Returns a node with a peer, which knows ends under one request."""
    place = await mesh.add("a")
    await mesh.add("b")
    await mesh.settle()
    context = place.node.context
    for number in range(count):
        end = quarantine.End(f"t{number}", 1, context.now)
        context.quarantine.record_end(FINGERPRINT, end, context.now, own=True)
    await mesh.settle(1.0)
    return place


async def test_requests_are_listed_with_their_targets_in_order(
    mesh: fake_mesh.Mesh,
) -> None:
    (row,) = rows(await with_ends(mesh, 3))
    assert row.fingerprint == SHOWN
    assert row.state == "quarantined"
    assert row.targets == ["t0", "t1", "t2"]
    assert row.ended_seconds_ago == pytest.approx(1.0, abs=0.1)
    assert row.left_seconds == pytest.approx(599.0, abs=0.1)


async def test_a_cleared_request_is_cleared_at_all_nodes(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await with_ends(mesh, 3)
    peer = mesh.places["b"]
    assert rows(peer)
    found = page(place, "DELETE", f"?fingerprint={SHOWN}")
    assert found.body == b'{"cleared":true}'
    assert not rows(place)
    await mesh.settle(1.0)
    assert not rows(peer)


async def test_clearing_an_unknown_request_says_so(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await with_ends(mesh, 0)
    found = page(place, "DELETE", "?fingerprint=1")
    assert found.body == b'{"cleared":false}'


@pytest.mark.parametrize("query", ["", "?fingerprint=xyz", "?other=1"])
async def test_a_fingerprint_that_is_none_is_refused(
    mesh: fake_mesh.Mesh, query: str
) -> None:
    place = await with_ends(mesh, 1)
    assert page(place, "DELETE", query).status == 400
    assert rows(place)
