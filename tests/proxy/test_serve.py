"""The process of a node: its end."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import types
from collections.abc import Iterator
from typing import Any, cast

import pytest

from currantcart.proxy import node, serve, startup


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


def test_a_change_that_was_not_applied_is_tried_again(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    """An error while settings are applied must not end their application."""
    path = tmp_path / "settings.json"
    path.write_text("first")
    stamp = startup.file_stamp(path)
    path.write_text("the second")
    reported: list[str] = []
    tries: list[str] = []

    async def watch() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, details: reported.append(str(details["exception"]))
        )
        applied = asyncio.Event()

        def reload(running: node.Node, path: pathlib.Path) -> None:
            del running
            tries.append(path.read_text())
            if len(tries) == 1:
                raise ZeroDivisionError("not applied")
            applied.set()

        monkeypatch.setattr(serve, "SETTINGS_SECONDS", 0.0)
        monkeypatch.setattr(serve, "reload", reload)
        running = types.SimpleNamespace(
            context=types.SimpleNamespace(loop=loop)
        )
        watching = loop.create_task(
            serve.watch_settings(cast(node.Node, running), path, stamp)
        )
        await asyncio.wait(
            {watching, loop.create_task(applied.wait())},
            return_when=asyncio.FIRST_COMPLETED,
            timeout=5.0,
        )
        # A change that was applied is not applied again.
        for _ in range(5):
            await asyncio.sleep(0)
        assert not watching.done()
        watching.cancel()

    asyncio.run(watch())
    assert tries == ["the second", "the second"]
    assert reported == ["not applied"]
