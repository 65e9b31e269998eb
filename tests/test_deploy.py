"""Files with which the platform builds and starts a node."""

from __future__ import annotations

import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import tomllib

import pytest

from bench import node_requirements
from currantcart.proxy import settings as proxy_settings

DEPLOY = pathlib.Path(__file__).parents[1] / "deploy"
SECTION = re.compile(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
"""Part that is rendered if the platform has a value, with its placeholder."""
TEXT = re.compile(r"\{\{[^}]*\|json\}\}")


def test_requirements_of_a_node_are_taken_from_the_lock_file() -> None:
    lock = node_requirements.LOCK.read_text()
    assert node_requirements.TARGET.read_text() == node_requirements.cut(lock)
    for name in node_requirements.WANTED:
        assert f"{name}==" in node_requirements.TARGET.read_text()


@pytest.mark.parametrize("has_optional", [True, False])
def test_the_template_renders_valid_settings(*, has_optional: bool) -> None:
    text = (DEPLOY / "settings.json").read_text()
    text = SECTION.sub(r"\2" if has_optional else "", text)

    def fill(found: re.Match[str]) -> str:
        placeholder = found.group()
        if "bounds." in placeholder:
            return "2.5"
        if "limits." in placeholder:
            return "4100"
        address = (
            "listen." in placeholder
            or "address" in placeholder
            or "addr" in placeholder
        )
        return json.dumps("10.0.0.1:80" if address else "x")

    text = TEXT.sub(fill, text)
    text = text.replace("{{ip}}", "10.0.0.1").replace(
        "{{internal-ports.0}}", "7000"
    )
    settings = proxy_settings.parse(text.encode(), source="template")
    assert settings.listen.peers == "10.0.0.1:7000"
    assert settings.bounds.revoke_seconds == 2.5
    default = proxy_settings.Bounds().cold_slack
    cold_slack = 2.5 if has_optional else default
    assert settings.bounds.cold_slack == cold_slack
    assert settings.descriptors == 4_100
    memory_mb = 4_100 if has_optional else 300
    assert settings.memory_mb == memory_mb
    assert settings.placement.by_completion
    assert settings.fair_shares.enabled
    assert settings.rate_queue.enabled
    assert settings.exchange.mesh_nodes_max == 24
    assert settings.first_start == has_optional


def test_a_signal_during_the_start_does_not_end_the_process() -> None:
    """The platform sends SIGHUP when the settings change.

    Its default action would end a process that is still starting, so the start
    file ignores it before the other imports.
    """
    first = (DEPLOY / "node.py").read_text().partition("sys.path")[0]
    ignored = first.index("signal.signal(signal.SIGHUP, signal.SIG_IGN)")
    assert ignored < first.index("import os")


def test_the_deploy_file_names_existing_files() -> None:
    deploy = tomllib.loads((DEPLOY / "system.toml").read_text())
    role = deploy["roles"]["node"]
    root = DEPLOY.parent
    assert (root / role["template"]).is_file()
    assert (root / role["run"].split(" ")[1]).is_file()
    assert role["serves"] == ["sidecar"]


def test_a_port_in_use_is_logged_in_one_line(
    tmp_path: pathlib.Path,
) -> None:
    """A node starts while its predecessor still holds the port.

    The start must fail with one log line that names the cause, not with a
    traceback.
    """
    with socket.socket() as taken, socket.socket() as free:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        free.bind(("127.0.0.1", 0))
        free.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        settings = tmp_path / "settings.json"
        settings.write_text(
            json.dumps(
                {
                    "instance": "n1",
                    "failure_domain": "a",
                    "region": "r",
                    "service": "grades",
                    "target": "127.0.0.1:1",
                    "listen": dict.fromkeys(
                        ("callers", "peers", "readiness", "reports"), address
                    ),
                    "store": f"127.0.0.1:{free.getsockname()[1]}",
                }
            )
        )
        ended = subprocess.run(
            [sys.executable, str(DEPLOY / "node.py")],
            env={**os.environ, "CURRANTCART_BOOT": str(settings)},
            capture_output=True,
            text=True,
            check=False,
        )
    assert ended.returncode == 1
    assert "event=start_failed" in ended.stdout
    assert "address already in use" in ended.stdout
    assert "Traceback" not in ended.stderr
