"""Two example deployments that share one services file."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import subprocess
import sys

from bench import load
from bench.standins import target as target_standin

SERVICES_FILE = pathlib.Path(__file__).parent / "services.jsonc"
BROWSE_RATE = 12.0
PAY_RATE = 3.0
BOARD_WORKSPACES = ("mill-1", "mill-2", "shop-1", "shop-2")
HINOKAWA_WORKSPACES = ("hotel-1", "hotel-2", "inn-1", "inn-2")


@dataclasses.dataclass(frozen=True)
class Shape:
    """Targets of one service.

    Attributes:
      workers: Number of targets.
      slots: Calls that a target processes concurrently.
      work_ms: Mean service time without the calls to dependencies.
      calls: Paths of the dependencies called for each call.
    """

    workers: int
    slots: int
    work_ms: float
    calls: tuple[str, ...] = ()


SHAPES = {
    "grades": Shape(2, 25, 3),
    "permits": Shape(2, 50, 4, ("/grades/grade",)),
    "reports": Shape(2, 50, 8, ("/permits/status", "/grades/grade")),
    "payments": Shape(2, 50, 6, ("/permits/status",)),
    "itineraries": Shape(2, 40, 4),
    "schedule": Shape(2, 200, 3, ("/itineraries/routes",)),
    "bookings": Shape(2, 250, 6, ("/schedule/slots",)),
    "media": Shape(2, 250, 8, ("/bookings/check",)),
}


def behaviours() -> dict[str, list[target_standin.Behaviour]]:
    """Returns the behaviour of each target, by service."""
    return {
        name: [
            target_standin.Behaviour(
                service=name,
                slots=shape.slots,
                work_ms=shape.work_ms,
                calls=list(shape.calls),
            )
            for _ in range(shape.workers)
        ]
        for name, shape in SHAPES.items()
    }


def board_kinds(scale: float) -> list[load.Kind]:
    """Returns the requests of a maker, at `scale` times their base rates."""
    return [
        load.Kind("browse", "GET", "/permits/status", BROWSE_RATE * scale),
        load.Kind(
            "pay", "POST", "/payments/fees", PAY_RATE * scale, 200,
            operation=True,
        ),
        load.Kind("upload", "POST", "/reports/batch", scale, 60_000),
    ]  # fmt: skip


def hinokawa_kinds(scale: float) -> list[load.Kind]:
    """Returns the requests of a guest, at `scale` times their base rates."""
    return [
        load.Kind("browse", "GET", "/schedule/slots", BROWSE_RATE * scale),
        load.Kind(
            "confirm", "POST", "/bookings/confirm", PAY_RATE * scale, 200,
            operation=True,
        ),
        load.Kind("upload", "POST", "/media/photos", scale, 60_000),
    ]  # fmt: skip


def command(store: str, *arguments: str) -> dict[str, str]:
    """Runs one command of the operators' command line.

    Returns:
      The JSON object that it prints.
    """
    done = subprocess.run(
        [
            sys.executable, "-m", "currantcart", *arguments,
            "--store", store, "--author", "bench", "--json",
        ],
        check=True,
        capture_output=True,
        text=True,
    )  # fmt: skip
    answer: dict[str, str] = json.loads(done.stdout)
    return answer


def configure(store: str, *, rate: float, burst: float) -> dict[str, str]:
    """Applies the services and creates the workspaces with their limits.

    Returns:
      An API key for each workspace.
    """
    command(store, "services", "apply", str(SERVICES_FILE))
    keys = {}
    for name in (*BOARD_WORKSPACES, *HINOKAWA_WORKSPACES):
        command(
            store, "workspace", "create", name,
            "--rate", f"{rate:g}", "--burst", f"{burst:g}",
        )  # fmt: skip
        keys[name] = command(store, "key", "give", name)["key"]
    return keys
