"""Tests of routing by host and longest prefix, and of traffic splits."""

from __future__ import annotations

import collections
import random

import pytest

from currantcart.catalog import model


def route(name: str, prefix: str, *parts: model.Part) -> model.Route:
    return model.Route(
        name=name,
        host="shop.example",
        prefix=prefix,
        parts=parts or (model.Part("s", 1.0),),
        idempotent=True,
        timeout_ms=1.0,
        objective_ms=1.0,
        priority=1,
        attempts_max=2,
        keyless=False,
    )


CATALOG = model.Catalog(
    version=1,
    routes=(route("a", "/a/"), route("ab", "/a/b/"), route("root", "/c/")),
    services=(),
    workspaces=(),
    keyed=False,
    limits=model.CallerLimits(),
)


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/a/", "a"),
        ("/a/x", "a"),
        ("/a/bx/y", "a"),
        ("/a/b", "a"),
        ("/a/b/", "ab"),
        ("/a/b/c/d", "ab"),
        ("/c/a/b/", "root"),
        ("/a", None),
        ("/", None),
        ("/d/a/", None),
    ],
)
def test_the_longest_prefix_wins(path: str, name: str | None) -> None:
    found = CATALOG.match("shop.example", path)
    assert (found.name if found else None) == name


def test_routes_match_only_their_host() -> None:
    assert CATALOG.match("other.example", "/a/") is None


def test_a_split_follows_its_weights() -> None:
    split = route("s", "/s/", model.Part("x", 90.0), model.Part("y", 10.0))
    rng = random.Random(1)
    drawn = collections.Counter(split.pick_service(rng) for _ in range(10_000))
    assert 850 <= drawn["y"] <= 1_150


def test_a_part_with_weight_zero_gets_no_requests() -> None:
    split = route("s", "/s/", model.Part("x", 0.0), model.Part("y", 1.0))
    rng = random.Random(1)
    assert {split.pick_service(rng) for _ in range(1_000)} == {"y"}
