"""Fixtures, Hypothesis profiles and event loop that the tests share."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import AsyncIterator, Callable

import hypothesis
import pytest

from tests import known_red
from tests.fakes import loop as fake_loop
from tests.fakes import mesh as fake_mesh
from tests.fakes import world as fake_world

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, database=None
)
# `make prove` uses this one: each seed generates other histories.
hypothesis.settings.register_profile(
    "prove", deadline=None, max_examples=400, database=None, print_blob=True
)
hypothesis.settings.load_profile("ci")


def pytest_configure(config: pytest.Config) -> None:
    """Registers the plugin for tests that are known to fail."""
    entries = known_red.read(pathlib.Path(__file__).parents[1])
    config.pluginmanager.register(known_red.Plugin(entries), "known_red")


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> dict[str, Callable[[], asyncio.AbstractEventLoop]]:
    """Runs each test on an in-memory event loop."""
    del config, item
    return {"memory": fake_loop.MemoryLoop}


@pytest.fixture
async def world() -> AsyncIterator[fake_world.World]:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, fake_loop.MemoryLoop)
    async for opened in fake_world.open_world(loop):
        yield opened


@pytest.fixture
async def mesh() -> AsyncIterator[fake_mesh.Mesh]:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, fake_loop.MemoryLoop)
    async for opened in fake_mesh.open_mesh(loop):
        yield opened
