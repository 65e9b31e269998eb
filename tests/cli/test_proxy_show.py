"""The command that shows a node's decisions, against a small HTTP server."""

from __future__ import annotations

import http.server
import json
import threading
from collections.abc import Iterator

import pytest
from cleo.testers import command_tester

from currantcart import run
from currantcart.telemetry import counts, exposition


class Metrics(http.server.BaseHTTPRequestHandler):
    """Answers each request with the server's page."""

    def do_GET(self) -> None:
        """Sends the page."""
        page: bytes = self.server.page  # type: ignore[attr-defined]
        self.send_response(200)
        self.send_header("Content-Length", str(len(page)))
        self.end_headers()
        self.wfile.write(page)

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Writes nothing to the test's output."""


@pytest.fixture
def node() -> Iterator[http.server.HTTPServer]:
    server = http.server.HTTPServer(("127.0.0.1", 0), Metrics)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


def show(node: http.server.HTTPServer, page: bytes, *options: str) -> str:
    """Returns what the command prints for a page of metrics."""
    node.page = page  # type: ignore[attr-defined]
    command = run.build_application().find("proxy show")
    tester = command_tester.CommandTester(command)
    arguments = [f"127.0.0.1:{node.server_port}", *options]
    assert tester.execute(" ".join(arguments)) == 0
    return tester.io.fetch_output()


def test_the_decisions_of_a_node_are_shown_by_part(
    node: http.server.HTTPServer,
) -> None:
    recorded = counts.Counts()
    for cause in ("wait", "wait", "late"):
        recorded.add("handed_back", cause)
    recorded.add("handed_back_ended", "in_time")
    recorded.add("guard_refusals", "queue_full")
    recorded.observe("handed_back_wait_seconds", 12.0)
    assert show(node, exposition.render(recorded)).splitlines() == [
        "part       metric             labels           value",
        "hand-back  handed_back        cause=late       1",
        "hand-back  handed_back        cause=wait       2",
        "hand-back  handed_back_ended  outcome=in_time  1",
    ]


def test_metrics_of_parts_that_a_node_has_not_are_left_out(
    node: http.server.HTTPServer,
) -> None:
    """Guards against a node of another release that cannot be shown."""
    page = (
        b"# TYPE currantcart_rate_waiting gauge\n"
        b"currantcart_rate_waiting 3.0\n"
        b"# TYPE currantcart_placed_total counter\n"
        b'currantcart_placed_total{where="far"} 7.0\n'
        b"# TYPE currantcart_peers gauge\n"
        b"currantcart_peers 76.0\n"
    )
    assert json.loads(show(node, page, "--json")) == [
        {
            "part": "rate queue",
            "metric": "rate_waiting",
            "labels": "",
            "value": "3",
        },
        {
            "part": "placement",
            "metric": "placed",
            "labels": "where=far",
            "value": "7",
        },
    ]


@pytest.mark.parametrize(
    ("arguments", "status"), [(["nowhere"], 2), (["127.0.0.1:9"], 1)]
)
def test_a_node_that_cannot_be_asked_is_one_line(
    arguments: list[str],
    status: int,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr(
        "sys.argv", ["currantcart", "proxy", "show", *arguments]
    )
    assert run.main() == status
    assert capsys.readouterr().err.count("\n") == 1


def test_a_page_without_metrics_is_an_error(
    node: http.server.HTTPServer,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an empty table for the address of another port."""
    node.page = b"<html>no metrics</html>\n"  # type: ignore[attr-defined]
    address = f"127.0.0.1:{node.server_port}"
    monkeypatch.setattr("sys.argv", ["currantcart", "proxy", "show", address])
    assert run.main() == 1
    assert "no metrics" in capsys.readouterr().err
