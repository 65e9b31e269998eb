"""Nodes that receive mutated values at each of their borders."""

from __future__ import annotations

import asyncio
import copy
import gc
import json
import math
import random
from typing import Any

import msgspec
import pytest

from currantcart.platform import names
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import frames, framing, registration
from tests.fakes import mesh as fake_mesh

SEEDS = range(6)
MUTANTS = 80
LATER_BORN = round(fake_mesh.WALL_MS) + 3_600_000
LATER_VERSION = 2**62

ODD_VALUES: list[Any] = [
    None, True, False, -1, 0, 1, -(2**63), 2**53, 2**63, 2**64 - 1, -0.5,
    1e15, 1e16, 1e308, -1e308, "", "x", "nan", "a\r\nb: c", "\x00", "\u00e9",
    "\U0001f600", "9" * 400, "a" * 5_000, "10.0.0.9:99999999", "10.0.0.9:0",
    "name.example:1", "a" * 70 + ".example:80", "10.0.0.9:\u00b2", [], {},
    [[[[]]]], {"x": -1}, {"a": {"b": {}}},
]  # fmt: skip
ODD_NUMBERS: list[Any] = [math.nan, math.inf, -math.inf]
LONG_NUMBERS: list[Any] = [10**30, 10**400, -(10**400)]

MEMBER = frames.Member("z", "p99", "10.0.0.99:7000", "grades", "a")
TARGET = frames.TargetState(
    "t-z",
    True,
    10,
    2,
    pressure={"grades": 0.5},
    born=1_000,
    work_ms=5.0,
    work_by_kind={"read": 5.0},
    usage={"1:mill": 3.0},
)
EVIDENCE = frames.Evidence(7, (("t-z", 3, 10.0),), (("t-y", 2),))
HELLO = frames.Hello(1, MEMBER, 5.0, True, 7.0, True, True)
VALID_FRAMES: list[frames.Frame] = [
    HELLO,
    frames.Status(
        6.0, 0.0, 1.0, 1, 5.0, TARGET, {"mill": 3}, ("t-x", 5),
        frames.Evacuations(1, ("zz",)), 4, (EVIDENCE,),
    ),
    frames.Config(1, 5.0, b"{}", frames.Evacuations(1, ("zz",))),
    frames.Open(
        1, 5.0, 900.0, "r9", "t-a", 3, 300.0, "GET", "/read/1", b"", b"", 0,
        kind="read", workspace="mill", weight=2.0, fingerprint=7,
    ),
    frames.Data(1, b"x"),
    frames.Answer(1, 200, b"", b"x", 0, 1, 2),
    frames.Refuse(1, "busy", True, 100.0, 1, 2),
    frames.Lost(1, "closed", 1, 2, 3),
    frames.Cancel(1),
    frames.Counts({"mill": 3}, 5),
    frames.Fetch(),
    frames.Digest(
        6.0, "a", 10.0,
        [
            frames.Row(
                msgspec.structs.replace(MEMBER, instance="y", process="p98"),
                50.0, 1, 5.0, TARGET, {"mill": 3}, 2, complete=True,
            )
        ],
        ("p97",), 1.0, True, 3,
    ),
]  # fmt: skip


def places_of(value: Any) -> list[tuple[Any, Any]]:
    """Returns all containers within a value, with each key or index."""
    found: list[tuple[Any, Any]] = []
    if isinstance(value, dict):
        found = [(value, key) for key in value]
    elif isinstance(value, list):
        found = [(value, index) for index in range(len(value))]
    return found + [
        place for parent, key in found for place in places_of(parent[key])
    ]


def mutate(value: Any, rng: random.Random, odd: list[Any]) -> Any:
    """Returns a copy of a value with an odd one somewhere, or without one."""
    mutant = copy.deepcopy(value)
    places = places_of(mutant)
    if not places:
        return mutant
    parent, key = rng.choice(places)
    if rng.random() < 0.1:
        del parent[key]
    elif isinstance(parent, dict) and rng.random() < 0.1:
        parent[rng.choice(["x", "a" * 300, "\r\n"])] = rng.choice(odd)
    else:
        parent[key] = copy.deepcopy(rng.choice(odd))
    return mutant


def as_json(value: Any, rng: random.Random) -> bytes:
    """Returns a value as JSON, of which a few are damaged."""
    data = json.dumps(value).encode()
    if rng.random() < 0.1:
        at = rng.randrange(len(data))
        data = data[:at] + rng.choice([b"", b"\xff", b"\\ud800"]) + data[at:]
        data = data[: rng.choice([at + 1, len(data)])]
    return data


def heartbeat(place: fake_mesh.Place) -> dict[str, Any]:
    """Returns the body of a valid heartbeat."""
    return {
        "service": "grades",
        "address": place.settings.target,
        "zone": "a",
        "version": "v1",
        "slots": 20,
        "state": "ready",
        "cold-remaining-s": 0,
        "sequence": 2,
        "born": place.born,
    }


async def send_heartbeats(
    mesh: fake_mesh.Mesh, place: fake_mesh.Place, rng: random.Random
) -> None:
    odd = ODD_VALUES + ODD_NUMBERS + LONG_NUMBERS
    ids = ["t-a", "t-a", "", "t%0D%0Ax:1", "t" * 5_000, "%FF", "t-b%00"]
    for _ in range(MUTANTS):
        body = mutate(heartbeat(place), rng, odd)
        call = rng.choice(["heartbeat", "heartbeat", "deregister", "other"])
        status = await mesh.control(
            place,
            f"instances.{call}&of={rng.choice(ids)}",
            as_json(body, rng),
        )
        assert status in (200, 400)


async def write_entries(mesh: fake_mesh.Mesh, rng: random.Random) -> None:
    odd = ODD_VALUES + LONG_NUMBERS
    report = {
        "target_id": "t-z", "born": 1_000, "sequence": 1, "phase": "ready",
        "service": "grades", "slots": 20, "cold_ms": 0.0,
    }  # fmt: skip
    for number in range(MUTANTS):
        name = f"z{number}"
        member = [name, "p99", "10.0.0.99:7000", "grades", "a"]
        entry = mutate({"member": member, "target": report}, rng, odd)
        mesh.store.operate(f"{names.NODES_PREFIX}{name}", as_json(entry, rng))
    await mesh.settle(6.0)


async def write_configurations(
    mesh: fake_mesh.Mesh, rng: random.Random
) -> None:
    odd = ODD_VALUES + LONG_NUMBERS
    split = [{"service": "grades", "weight": 1}, {"service": "x", "weight": 2}]
    routes = [
        fake_mesh.route("read", "grades"),
        fake_mesh.route("part", "grades", split=split),
    ]
    for number in range(MUTANTS // 4):
        document = json.loads(fake_mesh.document(number + 2, routes, rate=5.0))
        mesh.store.operate(
            names.CONFIG_KEY, as_json(mutate(document, rng, odd), rng)
        )
        await mesh.settle(1.5)


async def send_frames(
    mesh: fake_mesh.Mesh, place: fake_mesh.Place, rng: random.Random
) -> None:
    odd = ODD_VALUES[:]
    odd += ODD_NUMBERS
    host, port = proxy_settings.split_address(place.settings.listen.peers)
    for _ in range(MUTANTS):
        transport, _ = await mesh.loop.create_connection(
            asyncio.Protocol, host, port
        )
        assert isinstance(transport, asyncio.Transport)
        transport.write(framing.encode_frame(HELLO))
        for _ in range(3):
            valid = frames.ENCODER.encode(rng.choice(VALID_FRAMES))
            mutant = mutate(msgspec.msgpack.decode(valid), rng, odd)
            data = msgspec.msgpack.encode(mutant)
            transport.write(framing.LENGTH.pack(len(data)) + data)
        await mesh.settle(0.05)
        transport.abort()


def encode_again(mesh: fake_mesh.Mesh) -> None:
    """Checks that what nodes hold can be sent, stored and read again."""
    for place in mesh.places.values():
        node = place.node
        status = node.statuses.own_status(complete=True)
        frames.decode_frame(memoryview(frames.ENCODER.encode(status)))
        for peer in node.peers.by_instance.values():
            state = frames.ENCODER.encode(peer.state)
            msgspec.msgpack.decode(state, type=frames.TargetState)
        entry = registration.Entry(node.peers.member, node.record.last)
        registration.ENTRY.decode(msgspec.json.encode(entry))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "border", ["heartbeats", "entries", "configurations", "frames"]
)
async def test_a_node_survives_what_others_write(
    mesh: fake_mesh.Mesh, border: str, seed: int
) -> None:
    """Guards against work that ends, or state that no later value replaces."""
    rng = random.Random(f"{border}-{seed}")
    found = mesh.loop.record_unhandled()
    front = await mesh.add("b", service="other")
    place = await mesh.add("a")
    await mesh.settle()
    if border == "heartbeats":
        await send_heartbeats(mesh, place, rng)
    elif border == "entries":
        await write_entries(mesh, rng)
    elif border == "configurations":
        await write_configurations(mesh, rng)
    else:
        await send_frames(mesh, place, rng)
    encode_again(mesh)
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(LATER_VERSION))
    place.born = LATER_BORN
    await mesh.settle(3.0)
    assert await mesh.report(place) == 200
    assert await mesh.report(place) == 200
    await mesh.settle(3.0)
    for node in (front.node, place.node):
        assert node.context.freshness.version == LATER_VERSION
    assert (await mesh.ask(front, fake_mesh.request())).status == 200
    gc.collect()
    assert not found
    assert not [line for line in mesh.lines if "background_failed" in line]
