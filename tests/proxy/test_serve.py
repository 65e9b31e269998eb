"""The process of a node: its end."""

from __future__ import annotations

import asyncio
import pathlib
import signal
from collections.abc import Iterator
from typing import Any

import pytest

from currantcart.proxy import serve, startup


@pytest.fixture
def signals() -> Iterator[None]:
    """Restores the actions of the signals that a node handles."""
    before = {number: signal.getsignal(number) for number in serve.SIGNALS}
    yield
    for number, action in before.items():
        signal.signal(number, action)


@pytest.mark.usefixtures("signals")
def test_an_unexpected_error_is_the_last_line(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """A node that ends by itself says why, in one line, with status 70."""

    async def fail(path: pathlib.Path, **options: Any) -> None:
        raise ZeroDivisionError("two\nlines")

    monkeypatch.setattr(startup, "prepare", fail)
    status = asyncio.run(serve.serve(pathlib.Path("settings.json")))
    assert status == 70
    captured = capfd.readouterr()
    lines = captured.out.splitlines()
    assert len(lines) == 1
    assert r"event=ended error=ZeroDivisionError detail=two\nlines" in lines[0]
    assert "test_serve.py:" in lines[0]
    assert lines[0].endswith("status=70")
    assert not captured.err
    assert signal.getsignal(signal.SIGTERM) is signal.SIG_IGN
