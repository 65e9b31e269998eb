"""The command that shows and clears requests, against a small server."""

from __future__ import annotations

import http.server
import json
import threading
from collections.abc import Iterator

import pytest
from cleo.testers import command_tester

from currantcart import run

ROWS = [
    {
        "fingerprint": "00000000000000ab",
        "state": "quarantined",
        "targets": ["t0", "t1", "t2"],
        "ended_seconds_ago": 4.5,
        "left_seconds": 595.5,
    }
]


class Node(http.server.BaseHTTPRequestHandler):
    """Answers as a node's metrics port does, and records what it was asked."""

    def answer(self) -> None:
        """Sends the server's page."""
        self.server.asked.append((self.command, self.path))  # type: ignore[attr-defined]
        page: bytes = self.server.page  # type: ignore[attr-defined]
        self.send_response(200)
        self.send_header("Content-Length", str(len(page)))
        self.end_headers()
        self.wfile.write(page)

    def do_GET(self) -> None:
        """Sends the page."""
        self.answer()

    def do_DELETE(self) -> None:
        """Sends the page."""
        self.answer()

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Writes nothing to the test's output."""


@pytest.fixture
def node() -> Iterator[http.server.HTTPServer]:
    server = http.server.HTTPServer(("127.0.0.1", 0), Node)
    server.asked = []  # type: ignore[attr-defined]
    server.page = json.dumps(ROWS).encode()  # type: ignore[attr-defined]
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


def execute(node: http.server.HTTPServer, *options: str) -> tuple[int, str]:
    """Returns the exit status of the command and what it prints."""
    command = run.build_application().find("proxy quarantine")
    tester = command_tester.CommandTester(command)
    arguments = [f"127.0.0.1:{node.server_port}", *options]
    return tester.execute(" ".join(arguments)), tester.io.fetch_output()


def test_requests_are_shown_as_a_table(node: http.server.HTTPServer) -> None:
    status, text = execute(node)
    assert status == 0
    assert text.splitlines() == [
        "fingerprint       state        targets   ended s ago  left s",
        "00000000000000ab  quarantined  t0,t1,t2  4.5          595.5",
    ]


@pytest.mark.parametrize(
    ("cleared", "expected"),
    [(True, (0, "ab: cleared")), (False, (1, "ab: no target has ended"))],
)
def test_a_request_is_cleared(
    node: http.server.HTTPServer, cleared: bool, expected: tuple[int, str]
) -> None:
    node.page = json.dumps({"cleared": cleared}).encode()  # type: ignore[attr-defined]
    status, text = execute(node, "--clear", "ab")
    assert status == expected[0]
    assert text.startswith(expected[1])
    assert node.asked == [("DELETE", "/quarantine?fingerprint=ab")]  # type: ignore[attr-defined]


def test_a_page_of_another_port_is_an_error(
    node: http.server.HTTPServer,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an empty table for a node of an earlier release."""
    node.page = b"# HELP metrics\n"  # type: ignore[attr-defined]
    address = f"127.0.0.1:{node.server_port}"
    monkeypatch.setattr(
        "sys.argv", ["currantcart", "proxy", "quarantine", address]
    )
    assert run.main() == 1
    assert "no quarantine page" in capsys.readouterr().err
