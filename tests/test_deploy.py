"""Files by which the platform builds and starts a node."""

from __future__ import annotations

import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import tomllib

from bench import node_requirements
from currantcart.proxy import settings as proxy_settings

DEPLOY = pathlib.Path(__file__).parents[1] / "deploy"
TEXT = re.compile(r"\{\{[^}]*\|json\}\}")


def test_what_a_node_needs_is_cut_out_of_the_lock() -> None:
    lock = node_requirements.LOCK.read_text()
    assert node_requirements.TARGET.read_text() == node_requirements.cut(lock)
    for name in node_requirements.WANTED:
        assert f"{name}==" in node_requirements.TARGET.read_text()


def test_the_template_renders_settings_of_the_product() -> None:
    text = (DEPLOY / "settings.json").read_text()

    def fill(found: re.Match[str]) -> str:
        word = found.group()
        if "bounds." in word:
            return "2.5"
        if "limits." in word:
            return "4100"
        address = "listen." in word or "address" in word or "addr" in word
        return json.dumps("10.0.0.1:80" if address else "x")

    text = TEXT.sub(fill, text)
    text = text.replace("{{ip}}", "10.0.0.1").replace(
        "{{internal-ports.0}}", "7000"
    )
    settings = proxy_settings.parse(text.encode(), source="template")
    assert settings.listen.peers == "10.0.0.1:7000"
    assert settings.bounds.revoke_seconds == 2.5
    assert settings.descriptors == 4_100


def test_a_signal_during_the_start_does_not_end_the_process() -> None:
    """The settings change as a process starts, which SIGHUP tells it."""
    first = (DEPLOY / "node.py").read_text().partition("sys.path")[0]
    ignored = first.index("signal.signal(signal.SIGHUP, signal.SIG_IGN)")
    assert ignored < first.index("import os")


def test_the_deploy_file_names_files_that_are_there() -> None:
    deploy = tomllib.loads((DEPLOY / "system.toml").read_text())
    role = deploy["roles"]["node"]
    root = DEPLOY.parent
    assert (root / role["template"]).is_file()
    assert (root / role["run"].split(" ")[1]).is_file()
    assert role["serves"] == ["sidecar"]


def test_a_port_that_is_taken_is_told_in_one_line(
    tmp_path: pathlib.Path,
) -> None:
    """The process before has not gone yet as the next one starts."""
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
