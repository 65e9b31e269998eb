"""Short seeded runs with real processes; only safety is checked."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from bench.soak import run

SECONDS = 5.0
SEEDS = [11, *run.regression_seeds()]
HEAVY_SEED = 21


@pytest.mark.parametrize(
    ("seed", "heavy"), [*((seed, False) for seed in SEEDS), (HEAVY_SEED, True)]
)
def test_no_promise_is_broken(
    seed: int, heavy: bool, tmp_path: pathlib.Path
) -> None:
    with asyncio.Runner(loop_factory=asyncio.SelectorEventLoop) as runner:
        result = runner.run(run.play(seed, SECONDS, tmp_path, heavy=heavy))
    assert result.broken == []
    assert result.sent > 0
