"""Commands that read decision logs and platform configurations."""

from __future__ import annotations

import json
import pathlib

import pytest
from cleo.testers import command_tester

from currantcart import errors, run
from currantcart.cli import base
from tests.fakes import mesh as fake_mesh

LINES = """
  1.2 n1 timestamp=2026-02-14T20:06:49.100+00:00 event=config_taken \
instance=n1 version=7 before=4
timestamp=2026-02-14T20:06:49.300+00:00 event=refused_by_guard instance=n2 \
id=r1 code=queue_full waiting=12
timestamp=2026-02-14T20:06:49.301+00:00 event=request_failed instance=n1 \
id=r1 status=503 code=queue_full
timestamp=2026-02-14T20:06:50.500+00:00 event=pressure instance=n2 level=0.4
no decision at all
timestamp=2026-02-14T20:06:50.600+00:00 event=broken "instance=n2
"""


def run_command(name: str, words: str) -> str:
    application = run.build_application()
    tester = command_tester.CommandTester(application.find(name))
    assert tester.execute(words) == 0
    return tester.io.fetch_output()


@pytest.fixture
def log(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "n.log"
    path.write_text(LINES)
    return path


def test_explain_shows_request_path_from_logs(log: pathlib.Path) -> None:
    rows = json.loads(run_command("explain", f"r1 --logs {log} --json"))
    assert [row["event"] for row in rows] == [
        "refused_by_guard",
        "request_failed",
    ]
    assert "waiting=12" in rows[0]["what"]


def test_request_without_log_lines_is_an_error(
    log: pathlib.Path,
) -> None:
    with pytest.raises(errors.CurrantcartError):
        run_command("explain", f"r2 --logs {log}")


def test_incident_lists_each_second(log: pathlib.Path) -> None:
    rows = json.loads(run_command("incident", f"{log.parent} --json"))
    assert [row["second"] for row in rows] == ["0", "1"]
    assert rows[0]["version"] == "7"
    assert rows[0]["failed"] == "queue_full:1"
    assert rows[1]["pressure"] == "0.40"


def test_incident_draws_the_timeline(log: pathlib.Path) -> None:
    picture = log.parent / "day.png"
    run_command("incident", f"{log} --picture {picture}")
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_config_check_prints_a_summary(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(fake_mesh.document(7))
    summary = json.loads(run_command("config check", f"{path} --json"))
    assert (summary["version"], summary["routes"]) == (7, 3)


def test_error_of_invalid_configuration_names_the_field(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "config.json"
    path.write_text('{"version": "seven", "routes": 1}')
    with pytest.raises(errors.CurrantcartError, match=r"version"):
        run_command("config check", str(path))


LOST = """
timestamp=2026-02-14T20:06:49.100+00:00 event=request_failed instance=n1 \
id=r1 route=pay service=payments status=500 code=target_failed
timestamp=2026-02-14T20:06:49.050+00:00 event=request_failed instance=n2 \
id=r1.a1 route=index service=reports status=500 code=target_failed
timestamp=2026-02-14T20:06:49.040+00:00 event=request_failed instance=n3 \
id=r1.a1.b7 route=cache service=grades status=503 code=queue_full
timestamp=2026-02-14T20:06:51.000+00:00 event=request_rejected instance=n1 \
id=r2 route=read workspace=mill status=429 code=rate_exceeded
timestamp=2026-02-14T20:06:51.200+00:00 event=request_rejected instance=n1 \
id=r3 route=read workspace=mill status=429 code=rate_exceeded
timestamp=2026-02-14T20:06:52.000+00:00 event=answered_late instance=n1 \
id=r4 route=read outcomes=not_executed,answered after_ms=900
timestamp=2026-02-14T20:06:52.500+00:00 event=answered instance=n1 \
id=r5 route=read outcomes=answered
"""


@pytest.fixture
def lost(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "n.log"
    path.write_text(LOST)
    return path


def test_losses_are_totalled_by_route_and_cause(lost: pathlib.Path) -> None:
    """A payment fails because a call two levels below it was refused."""
    words = f"{lost} --worth pay=3:1 --worth read=1:0.5 --json"
    rows = json.loads(run_command("losses", words))
    assert [(row["route"], row["cause"], row["worth"]) for row in rows] == [
        ("pay", "chain: queue_full at grades", "3.0"),
        ("read", "rate_exceeded", "2.0"),
        ("read", "late, 2 attempts", "0.5"),
    ]
    assert [row["worst_second"] for row in rows] == ["0", "1", "2"]
    assert sum(float(row["share"]) for row in rows) == pytest.approx(
        1, abs=0.01
    )


def test_losses_are_drawn(lost: pathlib.Path) -> None:
    picture = lost.parent / "losses.png"
    run_command("losses", f"{lost} --picture {picture}")
    assert picture.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize("worth", ["pay", "pay=much", "=3", "pay=3:x"])
def test_invalid_worth_is_a_usage_error(lost: pathlib.Path, worth: str) -> None:
    with pytest.raises(base.UsageError, match="--worth"):
        run_command("losses", f"{lost} --worth {worth}")


def test_logs_without_losses_are_an_error(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "calm.log"
    path.write_text(LOST.splitlines()[-1])
    with pytest.raises(errors.CurrantcartError, match="no lost request"):
        run_command("losses", str(path))
