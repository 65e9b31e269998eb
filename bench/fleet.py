"""Starts and ends the processes of an experiment on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from typing import Any

import aiohttp

from bench.standins import target as target_standin

SECRET = "bench-secret-bench-secret"
READY_SECONDS_MAX = 40.0
STOP_SECONDS_MAX = 10.0
HOST = "127.0.0.1"
PORTS = range(12_000, 32_000)
PORTS_PER_PROCESS = 1_021
"""Ports by which the first candidates of two successive processes differ.

A port of a stopped node is free for a moment, and another process that runs at
the same time must not take it.
"""
CANDIDATE_PORTS = itertools.cycle(
    [*PORTS[os.getpid() * PORTS_PER_PROCESS % len(PORTS) :], *PORTS]
)


def free_ports(count: int) -> list[int]:
    """Returns ports that are currently free.

    They lie below the kernel's range of ephemeral ports: an outgoing connection
    could otherwise be given a port on which a process is about to listen.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(CANDIDATE_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def wait_port(port: int) -> None:
    """Waits until a process listens on a port.

    Raises:
      RuntimeError: None listens within `READY_SECONDS_MAX`.
    """
    end = time.monotonic() + READY_SECONDS_MAX
    while time.monotonic() < end:
        with socket.socket() as probe:
            if probe.connect_ex((HOST, port)) == 0:
                return
        time.sleep(0.05)
    raise RuntimeError(f"no process listens on port {port}")


@dataclasses.dataclass
class Unit:
    """A node and the target beside it.

    Attributes:
      instance: Instance name of the node.
      behaviour: Behaviour of the target at its start.
      domain: Failure domain.
      callers: Address that callers connect to.
      peers: Address that other nodes connect to.
      admin: Address of the admin interface.
      target: Address of the target.
    """

    instance: str
    behaviour: target_standin.Behaviour
    domain: str
    callers: str
    peers: str
    admin: str
    target: str


class Fleet:
    """Processes of one experiment; `close` ends these and no others."""

    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="currantcart-bench-")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.units: list[Unit] = []
        self.store = ""

    def spawn(self, name: str, command: list[str]) -> None:
        """Starts a Python process that writes its output to a file."""
        log = pathlib.Path(self.folder.name, f"{name}.log")
        with log.open("wb") as sink:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *command], stdout=sink, stderr=sink
            )

    def log_of(self, name: str) -> str:
        """Returns the output of a process so far."""
        return pathlib.Path(self.folder.name, f"{name}.log").read_text()

    def start_store(self) -> None:
        """Starts the store stand-in."""
        (port,) = free_ports(1)
        self.store = f"{HOST}:{port}"
        self.spawn("store", ["-m", "bench.standins.store", str(port)])
        wait_port(port)

    def plan(
        self,
        services: dict[str, list[target_standin.Behaviour]],
        *,
        domains: int = 3,
    ) -> None:
        """Assigns addresses and failure domains to the targets of each service.

        Args:
          services: Behaviour of each target, by service.
          domains: Number of failure domains.
        """
        total = sum(len(targets) for targets in services.values())
        ports = iter(free_ports(4 * total))
        for service, targets in services.items():
            for number, behaviour in enumerate(targets):
                addresses = [f"{HOST}:{next(ports)}" for _ in range(4)]
                behaviour.node = addresses[0]
                self.units.append(
                    Unit(
                        f"{service}-{number + 1}",
                        behaviour,
                        f"domain-{number % domains + 1}",
                        *addresses,
                    )
                )

    def settings_of(self, unit: Unit, **more: Any) -> dict[str, Any]:
        """Returns the settings of a unit's node, overridden by `more`."""
        seeds = [other.peers for other in self.units[:3]]
        return {
            "instance": unit.instance,
            "failure_domain": unit.domain,
            "listen": {
                "callers": unit.callers,
                "peers": unit.peers,
                "admin": unit.admin,
            },
            "target": {
                "service": unit.behaviour.service,
                "address": unit.target,
                "slots": unit.behaviour.slots,
                "connections": unit.behaviour.slots * 8,
                "ramp_ms": 0,
            },
            "fleet_secret": SECRET,
            "store": self.store,
            "seeds": seeds,
            "log_level": "warning",
            **more,
        }

    def start_target(self, unit: Unit) -> None:
        """Starts a unit's target."""
        self.spawn(
            f"target-{unit.instance}",
            [
                "-m",
                "bench.standins.target",
                unit.target,
                json.dumps(dataclasses.asdict(unit.behaviour)),
            ],
        )

    def start_node(self, unit: Unit, **more: Any) -> None:
        """Starts a unit's node."""
        path = pathlib.Path(self.folder.name, f"{unit.instance}.json")
        path.write_text(json.dumps(self.settings_of(unit, **more)))
        self.spawn(
            f"node-{unit.instance}",
            ["-m", "currantcart", "node", "--settings", str(path)],
        )

    def start_units(self, **more: Any) -> None:
        """Starts all targets and nodes."""
        for unit in self.units:
            self.start_target(unit)
            self.start_node(unit, **more)

    async def wait_ready(self) -> None:
        """Waits until every node is ready and knows all targets.

        Raises:
          RuntimeError: A node is not ready within `READY_SECONDS_MAX`.
        """
        deadline = time.monotonic() + READY_SECONDS_MAX
        timeout = aiohttp.ClientTimeout(total=2)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for unit in self.units:
                while not await self.is_ready(session, unit):
                    if time.monotonic() > deadline:
                        name = f"node-{unit.instance}"
                        raise RuntimeError(
                            f"{name} is not ready: {self.log_of(name)[-2000:]}"
                        )
                    await asyncio.sleep(0.1)

    async def is_up(self, session: aiohttp.ClientSession, unit: Unit) -> bool:
        """Returns whether a node answers on its admin interface."""
        try:
            async with session.get(f"http://{unit.admin}/status") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def wait_up(self, session: aiohttp.ClientSession, unit: Unit) -> None:
        """Waits until a started node answers.

        Raises:
          RuntimeError: It does not answer within `READY_SECONDS_MAX`.
        """
        for _ in range(int(READY_SECONDS_MAX / 0.02)):
            if await self.is_up(session, unit):
                return
            await asyncio.sleep(0.02)
        raise RuntimeError(
            f"{unit.instance} did not answer on its admin interface"
        )

    async def is_ready(
        self, session: aiohttp.ClientSession, unit: Unit
    ) -> bool:
        """Returns whether a node is ready and knows all targets."""
        try:
            async with session.get(f"http://{unit.admin}/ready") as response:
                if response.status != 200:
                    return False
            async with session.get(f"http://{unit.admin}/status") as response:
                known = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        serving = [m for m in known["members"] if m["slots"] > 0]
        return len(serving) == len(self.units)

    async def control(self, unit: Unit, **changes: Any) -> None:
        """Changes the behaviour of a target."""
        async with (
            aiohttp.ClientSession() as session,
            session.put(
                f"http://{unit.target}/_control", json=changes
            ) as response,
        ):
            await response.read()

    async def history(self, unit: Unit) -> list[dict[str, Any]]:
        """Returns the calls that ran at a target."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{unit.target}/_history") as response,
        ):
            entries: list[dict[str, Any]] = await response.json()
            return entries

    async def ask_store(
        self, method: str, path: str, body: object = None
    ) -> dict[str, int]:
        """Sends a request to the store stand-in.

        Returns:
          The JSON object of the answer; empty if it is another value.
        """
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, f"http://{self.store}{path}", json=body
            ) as response,
        ):
            answer = await response.json()
            return answer if isinstance(answer, dict) else {}

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this fleet."""
        self.processes[name].send_signal(number)

    def close(self) -> None:
        """Ends all processes and removes their files."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(timeout=STOP_SECONDS_MAX)
        self.folder.cleanup()


@contextlib.contextmanager
def open_fleet() -> Iterator[Fleet]:
    """Yields a fleet and ends its processes in any case."""
    fleet = Fleet()
    try:
        yield fleet
    finally:
        fleet.close()
