"""A node is stopped as planned while clients send on routes that need no key."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab as lab_module  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6.0
EXCUSED_S = 3.0


async def play(lab: lab_module.Lab) -> int:
    config = lab_module.configuration(
        [
            ["r-1", "a.example", "/permits/", "idempotent", 1.2, 1.5, 2, None, 2, False, "payments"],
            ["r-2", "a.example", "/fees/", "non_idempotent", 1.5, 2, 0, None, 2, True, "payments"],
            ["r-3", "a.example", "/public/", "idempotent", 1.2, 1.5, 2, None, 2, True, "payments"],
        ],
        ["payments"],
    )
    # One node a zone: while it is stopped, fewer than half of its zone's nodes are in, so
    # that its clients go on sending to it.
    await lab.start(config, {"payments": (3, 55, 0.29)})
    if not await lab.all_ready(20):
        print("the nodes did not become ready")
        return 2
    lab.keep(lab.probe_readiness())
    await asyncio.sleep(4)
    machine = lab.machines[0]
    begin = lab.record.now()

    async def fee():
        if not lab.gets_work(machine):
            return
        await lab.request(
            machine, "fee-payment", method="POST", host="a.example",
            path=f"/fees/{random.randrange(10**6)}", deadline_ms=5000, body=b"f" * 300,
        )

    async def public():
        if not lab.gets_work(machine):
            return
        await lab.request(
            machine, "public-lookup", method="GET", host="a.example",
            path=f"/public/{random.randrange(10**6)}", deadline_ms=5000,
        )

    async def permit():
        place = random.choice(lab.machines)
        if not lab.gets_work(place):
            return
        await lab.request(
            place, "permit-lookup", method="GET", host="a.example",
            path=f"/permits/{random.randrange(10**6)}", deadline_ms=5000,
        )

    loads = asyncio.gather(
        lab.load(15, begin + 14, fee),
        lab.load(15, begin + 14, public),
        lab.load(75, begin + 14, permit),
    )
    await asyncio.sleep(4)
    stopped_at = lab.record.add("sigterm" if TROUBLE else "no_sigterm", machine=machine.name)
    if TROUBLE:
        assert machine.process is not None
        machine.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    if TROUBLE and machine.process is not None and machine.process.poll() is None and len(machine.started) == 1:
        machine.process.kill()
        lab.record.add("sigkill", machine=machine.name)
    await loads
    return judge(lab, machine, stopped_at)


def judge(lab: lab_module.Lab, machine: lab_module.Machine, stopped_at: float) -> int:
    """LOST: requests that were passed on to a worker and closed without an answer."""
    ran = {request_id: at for m in lab.machines for at, request_id, _ in m.worker.reached}
    cut = [s for s in lab.sent if s.machine == machine.name and s.status == 0 and s.id in ran]
    lost = [s for s in cut if stopped_at + EXCUSED_S < s.at < stopped_at + GRACE_S + 1]
    print(f"SIGTERM at {stopped_at:.2f}; requests that ran and got no answer: {len(cut)}")
    kinds = {kind: sum(s.kind == kind for s in lost) for kind in sorted({s.kind for s in lost})}
    print(f"of these sent more than {EXCUSED_S} s after it: {kinds}")
    print("sent after SIGTERM, s:", [round(s.at - stopped_at, 2) for s in lost])
    print("LOST", "broken" if lost else "held")
    return 1 if lost else 0


if __name__ == "__main__":
    lab_module.run(HERE, play)
