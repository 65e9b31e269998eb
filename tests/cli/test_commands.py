"""Commands against an in-memory store, and error output."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest
from cleo.testers import command_tester
from syrupy.assertion import SnapshotAssertion

from currantcart import errors, run
from currantcart.cli import base, workspaces
from currantcart.store import http as store_http
from tests.fakes.store import MemoryStore

SERVICES = pathlib.Path(__file__).parents[2] / "bench" / "services.jsonc"


class CommandStore(MemoryStore):
    """An in-memory store in the place of the HTTP store."""

    async def close(self) -> None:
        """Does nothing: there is no connection to close."""


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> CommandStore:
    made = CommandStore()
    monkeypatch.setattr(store_http, "HttpStore", lambda address: made)
    monkeypatch.setenv(base.STORE_VARIABLE, "127.0.0.1:8500")
    return made


def command(text: str) -> Any:
    """Runs a command with `--json` and returns its parsed output."""
    words = text.split(" ")
    application = run.build_application()
    for count in (2, 1):
        name = " ".join(words[:count])
        if application.has(name):
            break
    tester = command_tester.CommandTester(application.find(name))
    rest = " ".join(words[count:])
    assert tester.execute(f"{rest} --json --author ann".strip()) == 0
    return json.loads(tester.io.fetch_output())


def test_workspace_and_key_lifecycle(store: CommandStore) -> None:
    command(f"services apply {SERVICES}")
    command("workspace create mill --rate 10 --burst 5")
    command("workspace set mill --rate 20 --importance important")
    assert command("workspace list") == [
        {"name": "mill", "rate": "20", "burst": "5", "importance": "important"}
    ]
    given = command("key give mill")
    assert given["key"].startswith("cck_")
    listed = [{"key_id": given["key_id"], "workspace": "mill"}]
    assert command("key list") == listed
    command(f"key withdraw {given['key_id']}")
    assert command("key list") == []
    assert [entry["revision"] for entry in command("history")] == [
        "1", "2", "3", "4", "5",
    ]  # fmt: skip
    assert "permits" in command("services show")["services"]
    command("domain evacuate dar-a")
    assert command("domain list") == [{"evacuated": "dar-a"}]
    command("domain restore dar-a")
    assert command("domain list") == []


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        (["frobnicate"], 2),
        (["node"], 2),
        (["status", "--admin", "nowhere"], 2),
        (["workspace", "create", "mill", "--rate", "x", "--burst", "1"], 2),
        (["workspace", "create", "BIG", "--rate", "1", "--burst", "1"], 2),
        (["key", "give", "none"], 1),
        (["services", "check", "/none.jsonc"], 1),
        (["status", "--admin", "127.0.0.1:9"], 1),
        (["domain", "evacuate", "no name"], 2),
    ],
)
def test_error_is_one_clear_line_with_a_status(
    store: CommandStore,
    arguments: list[str],
    status: int,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    monkeypatch.setattr("sys.argv", ["currantcart", *arguments])
    if arguments[:1] == ["status"] and status == 1:
        monkeypatch.setattr(base, "ask_node", unreachable)
    assert run.main() == status
    text = capsys.readouterr().err
    assert text.count("\n") == 1
    assert text == snapshot


async def unreachable(address: str, path: str) -> None:
    """Fails like a node that refuses connections."""
    del path
    raise errors.CurrantcartError(
        errors.Code.PEER_UNREACHABLE,
        errors.Step.COMMAND,
        "no answer: refused",
        peer=address,
    )


def test_unexpected_error_is_a_traceback(
    store: CommandStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fault(self: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(workspaces.KeyListCommand, "handle", fault)
    monkeypatch.setattr("sys.argv", ["currantcart", "key", "list"])
    with pytest.raises(ZeroDivisionError):
        run.main()
