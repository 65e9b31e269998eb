"""A payment that waits at a full worker, as the node beside that worker is stopped.

Machine 1 gets SIGTERM. Its worker is full; the worker of machine 2 has room, and turns
some requests away (`srv_grey` shed). A client on machine 1 sends two reads, A and B, one
behind the other on one connection; another one sends a payment.
"""

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
SLOTS = 12
SHED = {"shed0": 0.0, "shed200": 0.2}
"""Paths that the worker of machine 2 turns away, after what time in its queue."""


class Connection(lab_module.WorkerConnection):
    """A worker whose work a request's path states, and that may shed it."""

    def handle(self, path: str, fields: dict[str, str]) -> None:
        self.request_id = fields.get("currantcart-request-id", "")
        parts = path.split("/")
        if len(parts) > 3:
            self.worker.work_s = int(parts[2]) / 1000
            if parts[3] in SHED and getattr(self.worker, "sheds", False):
                asyncio.get_running_loop().call_later(SHED[parts[3]], self.shed)
                return
        super().handle(path, fields)

    def shed(self) -> None:
        if not self.transport.is_closing():
            self.worker.lab.record.add("sheds", id=self.request_id, worker=self.worker.id)
            self.answer(503, b"", "Currantcart-Not-Executed: 1\r\n")


async def play(lab: lab_module.Lab) -> int:
    lab_module.WorkerConnection = Connection  # type: ignore[misc]
    config = lab_module.configuration(
        [
            ["r-1", "a.example", "/grades/", "idempotent", 5, 2.5, 2, None, 2, False, "grades"],
            ["r-2", "a.example", "/fees/", "non_idempotent", 1.5, 2, 0, None, 2, False, "grades"],
        ],
        ["grades"],
    )
    await lab.start(config, {"grades": (2, SLOTS, 0.3)})
    if not await lab.all_ready(20):
        print("the nodes did not become ready")
        return 2
    await asyncio.sleep(12)
    first, second = lab.machines
    await asyncio.wait([grade(lab, first, 300, "x") for _ in range(30)])
    stopped_at = lab.record.add("sigterm" if TROUBLE else "no_sigterm", machine=first.name)
    if TROUBLE:
        assert first.process is not None
        first.process.send_signal(signal.SIGTERM)
        second.worker.sheds = True

    def until(seconds: float):
        return asyncio.sleep(stopped_at + seconds - lab.record.now())

    await until(0.9)
    running = []
    while first.worker.running < int(SLOTS * 0.93) and len(running) < 40:
        running.append(grade(lab, first, 4000, "x"))
        await asyncio.sleep(0.01)
    lab.record.add("full", first=first.worker.running, second=second.worker.running)
    await until(1.5)
    pair = asyncio.create_task(pipeline(lab, first))
    await until(1.56)
    if TROUBLE:
        lose_an_answer(lab, first)
    await until(1.62)
    payment = asyncio.create_task(fee(lab, first, "shed0"))
    sent = await payment
    await asyncio.sleep(0.5)
    again = await fee(lab, second, "x") if sent.status in (429, 503) else None
    await asyncio.sleep(0.5)
    for task in [pair, *running]:
        task.cancel()
    return judge(lab, sent, again)


def grade(lab, machine, work_ms: int, word: str) -> asyncio.Task:
    path = f"/grades/{work_ms}/{word}/{random.randrange(10**6)}"
    return asyncio.create_task(
        lab.request(machine, "grade-lookup", method="GET", host="a.example", path=path, deadline_ms=10_000)
    )


def fee(lab, machine, word: str):
    path = f"/fees/800/{word}/7"
    return lab.request(
        machine, "fee-payment", method="POST", host="a.example", path=path, deadline_ms=5000, body=b"f" * 300
    )


async def pipeline(lab, machine) -> None:
    """Sends A and B, one behind the other on one connection, and waits."""
    reader, writer = await asyncio.open_connection(lab_module.HOST, machine.ports["outbound"])
    try:
        for name, path in (("A", "/grades/900/shed200/a"), ("B", "/grades/4000/shed0/b")):
            request_id = f"{random.getrandbits(60):015x}"
            lab.record.add("sent", id=request_id, kind="grade-lookup", pipelined=name)
            writer.write(
                f"GET {path} HTTP/1.1\r\nHost: a.example\r\nCurrantcart-Request-Id: {request_id}\r\n"
                "Currantcart-Deadline-Ms: 10000\r\nApi-Key: key-of-a-tenant-1\r\n\r\n".encode()
            )
        while data := await reader.read(4096):
            lab.record.add("client_got", first_line=data.split(b"\r\n")[0].decode().replace(" ", "_"))
    finally:
        writer.transport.abort()


def lose_an_answer(lab, machine) -> None:
    """The worker of a machine resets one connection whose request it runs."""
    for item in list(machine.worker.connections):
        if item.work is not None:
            lab.record.add("answer_lost", id=item.request_id)
            item.close()
            return


def judge(lab, sent, again) -> int:
    """REFUSED: a payment that is answered 429, 503, 408 or 421 and has run."""
    runs = {
        item.id: [worker.id for m in lab.machines for worker in [m.worker] for _, i, _ in worker.reached if i == item.id]
        for item in (sent, again)
        if item is not None
    }
    print(f"the payment was answered {sent.status} and ran {len(runs[sent.id])} times")
    if again is not None:
        print(f"the client, told that it has not run, paid again: {again.status}, ran {len(runs[again.id])} times")
    broken = sent.status in (408, 421, 429, 503) and bool(runs[sent.id])
    print("REFUSED", "broken" if broken else "held")
    return 1 if broken else 0


if __name__ == "__main__":
    lab_module.run(HERE, play)
