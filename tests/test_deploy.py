"""Files with which the platform builds and starts a node."""

from __future__ import annotations

import ast
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import sysconfig
import time
import tomllib
from collections.abc import Callable, Iterator
from concurrent import futures
from typing import Any

import pytest

from bench import node_requirements
from currantcart.proxy import settings as proxy_settings

DEPLOY = pathlib.Path(__file__).parents[1] / "deploy"
SECTION = re.compile(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
"""Part that is rendered if the platform has a value, with its placeholder."""
TEXT = re.compile(r"\{\{[^}]*\|json\}\}")
WAIT_SECONDS_MAX = 60.0
HANG_UP_SECONDS = 0.002
"""Time between two SIGHUPs."""


def run_command() -> list[str]:
    """Returns the words of the command that starts a node."""
    deploy = tomllib.loads((DEPLOY / "system.toml").read_text())
    words: list[str] = deploy["roles"]["node"]["run"].split(" ")
    return words


def free_addresses(count: int) -> list[str]:
    """Returns addresses on loopback that are free now."""
    with contextlib.ExitStack() as stack:
        held = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in held:
            item.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{item.getsockname()[1]}" for item in held]


def settings_text(**listen: str) -> str:
    """Returns settings of a node with free ports, unless they are given."""
    callers, peers, readiness, reports, target, store = free_addresses(6)
    return json.dumps(
        {
            "instance": "n1",
            "failure_domain": "a",
            "region": "r",
            "service": "grades",
            "target": target,
            "listen": {
                "callers": callers,
                "peers": peers,
                "readiness": readiness,
                "reports": reports,
            }
            | listen,
            "store": store,
        }
    )


def write_settings(folder: pathlib.Path, **listen: str) -> pathlib.Path:
    """Writes settings of a node into a folder and returns their path."""
    path = folder / "settings.json"
    path.write_text(settings_text(**listen))
    return path


@contextlib.contextmanager
def started(
    settings: pathlib.Path, **options: Any
) -> Iterator[subprocess.Popen[str]]:
    """Starts a node with the command of the deploy file; kills it at the end.

    Args:
      settings: Settings file; need not exist.
      options: Further arguments of `subprocess.Popen`.
    """
    defaults: dict[str, Any] = {
        "stdin": subprocess.DEVNULL,
        "stdout": subprocess.PIPE,
        "stderr": subprocess.STDOUT,
        "env": {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": sysconfig.get_path("purelib"),
            "CURRANTCART_BOOT": str(settings),
        },
    }
    process = subprocess.Popen(
        [sys.executable, *run_command()[1:]],
        cwd=DEPLOY.parent,
        text=True,
        **defaults | options,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()


def wait_for(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds."""
    end = time.monotonic() + WAIT_SECONDS_MAX
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.001)


def ignores_reload(pid: int) -> bool:
    """Returns whether a process ignores or handles SIGHUP."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*(\w+)$", status, re.MULTILINE)
    return any(int(mask, 16) & 1 << signal.SIGHUP - 1 for mask in masks)


def read_until(process: subprocess.Popen[str], text: str) -> list[str]:
    """Reads lines of a process up to one with a text, or to the end."""
    assert process.stdout is not None
    lines = []
    for line in process.stdout:
        lines.append(line)
        if text in line:
            return lines
    raise AssertionError(f"{text!r} is missing in {lines}")


def hang_up_until(process: subprocess.Popen[str], text: str) -> list[str]:
    """Sends SIGHUPs until a process has written a line with a text."""
    with futures.ThreadPoolExecutor(1) as executor:
        reading = executor.submit(read_until, process, text)
        while not reading.done():
            process.send_signal(signal.SIGHUP)
            time.sleep(HANG_UP_SECONDS)
        return reading.result()


def test_requirements_of_a_node_are_taken_from_the_lock_file() -> None:
    lock = node_requirements.LOCK.read_text()
    assert node_requirements.TARGET.read_text() == node_requirements.cut(lock)
    for name in node_requirements.WANTED:
        assert f"{name}==" in node_requirements.TARGET.read_text()


def render(text: str, *, missing: Callable[[str], bool]) -> bytes:
    """Returns the settings that the platform renders from a template.

    Args:
      text: The template.
      missing: Whether the platform has no value of a name.
    """

    def section(found: re.Match[str]) -> str:
        return "" if missing(found[1]) else found[2]

    def fill(found: re.Match[str]) -> str:
        name = found.group().strip("{}").removesuffix("|json")
        if missing(name):
            return ""
        if name.startswith("bounds."):
            return "2.5"
        if name.startswith("limits."):
            return "4100"
        if name == "first-start":
            return "true"
        is_address = "listen." in name or "addr" in name
        return json.dumps("10.0.0.1:80" if is_address else "x")

    text = TEXT.sub(fill, SECTION.sub(section, text))
    text = text.replace("{{ip}}", "10.0.0.1")
    return text.replace("{{internal-ports.0}}", "7000").encode()


TEMPLATE = (DEPLOY / "settings.json").read_text()
OPTIONAL = ("bounds.", "limits.", "first-start")
OPTIONAL_NAMES = sorted(
    {
        name
        for name in re.findall(r"\{\{#?([\w.-]+)", TEMPLATE)
        if name.startswith(OPTIONAL)
    }
)


@pytest.mark.parametrize("has_optional", [True, False])
def test_the_template_renders_valid_settings(*, has_optional: bool) -> None:
    text = render(
        TEMPLATE,
        missing=lambda name: name.startswith(OPTIONAL) and not has_optional,
    )
    settings = proxy_settings.parse(text, source="template")
    assert settings.listen.peers == "10.0.0.1:7000"
    default = proxy_settings.Bounds()
    revoke_seconds = 2.5 if has_optional else default.revoke_seconds
    assert settings.bounds.revoke_seconds == revoke_seconds
    cold_slack = 2.5 if has_optional else default.cold_slack
    assert settings.bounds.cold_slack == cold_slack
    descriptors = 4_100 if has_optional else 4_096
    assert settings.descriptors == descriptors
    memory_mb = 4_100 if has_optional else 300
    assert settings.memory_mb == memory_mb
    assert settings.placement.by_completion
    assert settings.fair_shares.enabled
    assert settings.rate_queue.enabled
    assert settings.exchange.mesh_nodes_max == 24
    assert settings.first_start == has_optional


@pytest.mark.parametrize("name", OPTIONAL_NAMES)
def test_a_value_that_a_platform_lacks_leaves_valid_settings(
    name: str,
) -> None:
    """Guards against nodes that cannot start on a platform of other bounds."""
    text = render(TEMPLATE, missing=lambda other: other == name)
    settings = proxy_settings.parse(text, source="template")
    assert settings.instance == "x"


def test_the_start_file_ignores_the_reload_signal_first() -> None:
    """Guards against a SIGHUP that ends a process before it is ignored."""
    words = run_command()
    assert words[0] == "python3"
    assert "-S" in words[1:-1]
    body = ast.parse((DEPLOY.parent / words[-1]).read_text()).body
    assert isinstance(body[0], ast.Expr)
    assert isinstance(body[0].value, ast.Constant)
    assert [ast.unparse(statement) for statement in body[1:3]] == [
        "import _signal",
        "_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)",
    ]
    assert "_signal" in sys.builtin_module_names


def test_a_node_lives_through_reload_signals_while_it_starts(
    tmp_path: pathlib.Path,
) -> None:
    """SIGHUP at any time from the first line to the start ends no process."""
    with started(write_settings(tmp_path)) as process:
        wait_for(lambda: ignores_reload(process.pid))
        lines = hang_up_until(process, "event=started")
        lines += hang_up_until(process, "event=settings_read")
        assert process.poll() is None, lines


def test_the_deploy_file_names_existing_files() -> None:
    deploy = tomllib.loads((DEPLOY / "system.toml").read_text())
    role = deploy["roles"]["node"]
    root = DEPLOY.parent
    assert (root / role["template"]).is_file()
    assert (root / role["run"].split(" ")[-1]).is_file()
    assert role["serves"] == ["sidecar"]


def taken_port() -> socket.socket:
    """Returns a socket that listens on a port of loopback."""
    taken = socket.socket()
    taken.bind(("127.0.0.1", 0))
    taken.listen()
    return taken


def address_of(listening: socket.socket) -> str:
    """Returns the address of a socket on loopback."""
    return f"127.0.0.1:{listening.getsockname()[1]}"


def end(process: subprocess.Popen[str]) -> list[str]:
    """Stops a process with SIGTERM and returns the rest of its output."""
    process.send_signal(signal.SIGTERM)
    assert process.stdout is not None
    lines = list(process.stdout)
    process.wait(WAIT_SECONDS_MAX)
    return lines


@pytest.mark.parametrize("port", ["callers", "peers", "readiness", "reports"])
def test_a_start_waits_for_a_port_in_use(
    tmp_path: pathlib.Path, port: str
) -> None:
    """A node starts while its predecessor still holds a port."""
    with taken_port() as taken:
        address = address_of(taken)
        settings = write_settings(tmp_path, **{port: address})
        with started(settings) as process:
            lines = read_until(process, "event=start_waits")
            assert f"address={address}" in lines[-1]
            assert 'reason="Address already in use"' in lines[-1]
            free = json.loads(settings.read_text())["listen"]
            free = free["callers" if port != "callers" else "peers"]
            with pytest.raises(ConnectionRefusedError):
                host, number = free.split(":")
                socket.create_connection((host, int(number))).close()
            taken.close()
            freed = time.monotonic()
            lines += read_until(process, "event=started")
            assert time.monotonic() - freed < 1.0
            assert 'waited_for="Address already in use"' in lines[-1]
            assert process.poll() is None
    text = "".join(lines)
    assert "Traceback" not in text
    assert text.count("event=start_waits") == 1


def test_a_start_that_waits_can_be_stopped(tmp_path: pathlib.Path) -> None:
    """SIGTERM ends a node that waits for its port, with status 0."""
    with taken_port() as taken:
        settings = write_settings(tmp_path, callers=address_of(taken))
        with started(settings) as process:
            read_until(process, "event=start_waits")
            lines = end(process)
    assert process.returncode == 0
    assert "event=stopped reason=SIGTERM cut=0 status=0" in lines[-1]


def test_a_metrics_port_in_use_does_not_keep_a_node_from_starting(
    tmp_path: pathlib.Path,
) -> None:
    """Several nodes of one address cannot all have the metrics port."""
    with taken_port() as taken:
        address = address_of(taken)
        with started(write_settings(tmp_path, metrics=address)) as process:
            lines = read_until(process, "event=metrics_wait")
            assert any("event=started" in line for line in lines)
            assert f"address={address}" in lines[-1]
            taken.close()
            read_until(process, "event=metrics_served")
            host, port = address.split(":")
            with socket.create_connection((host, int(port))) as connection:
                connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                assert b" 200 " in connection.recv(64)


@pytest.mark.parametrize("text", [None, "", "half", '{"instance": 1}'], ids=str)
def test_a_start_waits_for_valid_settings(
    tmp_path: pathlib.Path, text: str | None
) -> None:
    """The settings file is missing, empty, half written or invalid."""
    whole = settings_text()
    path = tmp_path / "settings.json"
    if text is not None:
        path.write_text(whole[: len(whole) // 2] if text == "half" else text)
    with started(path) as process:
        lines = read_until(process, "event=start_waits")
        assert "settings.json" in lines[-1]
        assert "instance=" not in lines[-1]
        path.write_text(whole)
        lines += read_until(process, "event=started")
        assert "instance=n1" in lines[-1]
    assert "Traceback" not in "".join(lines)


def test_a_wait_for_settings_can_be_stopped(tmp_path: pathlib.Path) -> None:
    """SIGTERM ends a node that waits for its settings, with status 0."""
    with started(tmp_path / "missing.json") as process:
        read_until(process, "event=start_waits")
        lines = end(process)
    assert process.returncode == 0
    assert "event=stopped reason=SIGTERM cut=0 status=0" in lines[-1]


def test_signals_during_the_shutdown_keep_the_exit_status(
    tmp_path: pathlib.Path,
) -> None:
    """SIGHUP or SIGTERM until the process is gone must not end it by itself."""
    with started(write_settings(tmp_path)) as process:
        read_until(process, "event=started")
        with futures.ThreadPoolExecutor(1) as executor:
            reading = executor.submit(process.communicate)
            while process.poll() is None:
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                time.sleep(HANG_UP_SECONDS / 10)
            output, _ = reading.result()
    assert process.returncode == 0
    last = output.splitlines()[-1]
    assert "event=stopped instance=n1 reason=SIGTERM cut=0 status=0" in last


def test_a_start_without_the_path_of_settings_says_so(
    tmp_path: pathlib.Path,
) -> None:
    """A missing variable is an error of the deployment: one line, status 2."""
    environment = {"PYTHONPATH": sysconfig.get_path("purelib")}
    with started(tmp_path, env=environment) as process:
        lines = read_until(process, "status=2")
        assert process.wait(WAIT_SECONDS_MAX) == 2
    assert len(lines) == 1
    assert "CURRANTCART_BOOT is not set" in lines[0]


def test_a_start_without_its_libraries_says_which_is_missing(
    tmp_path: pathlib.Path,
) -> None:
    """A build that was not done or broke off: one line, no traceback."""
    environment = {"CURRANTCART_BOOT": str(write_settings(tmp_path))}
    with started(tmp_path, env=environment) as process:
        lines = read_until(process, "status=70")
        assert process.wait(WAIT_SECONDS_MAX) == 70
    assert len(lines) == 1
    assert "event=ended error=ModuleNotFoundError" in lines[0]


@pytest.mark.parametrize("closed", [(1,), (0, 1, 2)], ids=str)
def test_closed_standard_streams_are_not_used_by_sockets(
    tmp_path: pathlib.Path, closed: tuple[int, ...]
) -> None:
    """Log lines must not be written into a socket that has the number one."""

    def close() -> None:
        for number in closed:
            os.close(number)

    settings = write_settings(tmp_path)
    callers = json.loads(settings.read_text())["listen"]["callers"]
    with started(settings, preexec_fn=close) as process:
        wait_for(lambda: accepts(callers) or process.poll() is not None)
        assert process.poll() is None
        for number in closed:
            opened = pathlib.Path(f"/proc/{process.pid}/fd/{number}")
            assert str(opened.readlink()) == os.devnull


def accepts(address: str) -> bool:
    """Returns whether an address accepts connections."""
    host, port = address.split(":")
    try:
        socket.create_connection((host, int(port))).close()
    except ConnectionRefusedError:
        return False
    return True


def test_a_node_starts_though_nobody_reads_its_output(
    tmp_path: pathlib.Path,
) -> None:
    """A full pipe on standard output and error must not block a node."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writing, b"x" * 4_096)
    os.set_blocking(writing, True)
    settings = write_settings(tmp_path)
    callers = json.loads(settings.read_text())["listen"]["callers"]
    with started(settings, stdout=writing, stderr=writing) as process:
        wait_for(lambda: accepts(callers) or process.poll() is not None)
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_SECONDS_MAX) == 0
    os.close(reading)
    os.close(writing)


def test_a_crash_in_a_library_leaves_its_place(tmp_path: pathlib.Path) -> None:
    """A segmentation fault must be told from a kill, by more than a number."""
    with started(write_settings(tmp_path)) as process:
        read_until(process, "event=started")
        process.send_signal(signal.SIGSEGV)
        lines = read_until(process, "serve.py")
        assert process.wait(WAIT_SECONDS_MAX) == -signal.SIGSEGV
    assert any("Fatal Python error: Segmentation fault" in x for x in lines)
