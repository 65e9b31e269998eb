"""Answers that wait behind a slow one, and the memory of the nodes."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab2 import *  # noqa: F403

MEMORY_MB = 300
"""`memory-mb` of a machine of both small sites."""
ANSWER_BYTES = 2 * 1024 * 1024
CLIENTS = 14
REQUESTS = 14
"""Requests that a client sends behind the first one."""
FIRST_SECONDS = 3.0 if TROUBLE else 0.02
ENDS = 3
PATHS = {"reports": "/read/1", "grades": "/view/1"}


async def pipeline(lab: Lab, node: Node, name: str) -> None:
    """Sends idempotent requests behind each other, and reads the answers."""
    writer, whole = None, 0
    try:
        reader, writer = await asyncio.open_connection(HOST, node.callers)
        names = [f"first-{name}"]
        names += [f"{name}-{number}" for number in range(REQUESTS)]
        for request_id in names:
            writer.write(head_of("GET", PATHS[node.worker.service], request_id, key="k1"))
        for _ in names:
            answer = await asyncio.wait_for(read_message(reader), 8)
            whole += answer.status == 200
        end = "read"
    except LOST as error:
        end = type(error).__name__
    if writer is not None:
        writer.close()
    lab.record.add("client", name=name, whole=whole, of=REQUESTS + 1, end=end)


class Platform:
    """Ends a process that exceeds its memory, and starts it again."""

    def __init__(self, lab: Lab, node: Node) -> None:
        self.lab = lab
        self.node = node
        self.ends = 0
        self.peak = 0.0

    async def watch(self) -> None:
        while True:
            memory = self.node.rss_mb()
            self.peak = max(self.peak, memory)
            if memory > MEMORY_MB:
                self.ends += 1
                self.lab.record.add(
                    "over_memory", node=self.node.name,
                    memory_mb=round(memory), limit_mb=MEMORY_MB,
                )  # fmt: skip
                self.node.send(signal.SIGKILL)
                self.node.process.wait()
                await asyncio.sleep(0.5)
                self.node.start()
            await asyncio.sleep(0.02)


async def use(lab: Lab, node: Node) -> None:
    """Lets clients come at the same time, `ENDS` times."""
    for turn in range(ENDS):
        await asyncio.gather(*(
            pipeline(lab, node, f"{node.name}-{turn}-{number}")
            for number in range(CLIENTS)
        ))  # fmt: skip
        await asyncio.sleep(1.0)
        while not await node.is_ready():
            await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)


async def work(lab: Lab) -> list[str]:
    for service, zone in (("reports", "dar-a"), ("grades", "dar-b")):
        node = await lab.add(service, zone)
        node.worker.body = lambda request: b"z" * ANSWER_BYTES
        node.worker.work = lambda request: (
            FIRST_SECONDS if request.request_id.startswith("first") else 0.02
        )
    lab.store.put("op/config", config(
        [
            ["read", "/read/", "idempotent", 5, 1.5, 2, False, "reports"],
            ["view", "/view/", "idempotent", 5, 1.5, 2, False, "grades"],
        ],
        ["reports", "grades"], keys={"mill": ["k1"]},
    ))  # fmt: skip
    await lab.start()
    platforms = [Platform(lab, node) for node in lab.nodes]
    lab.tasks += [asyncio.create_task(item.watch()) for item in platforms]
    await asyncio.gather(*(use(lab, node) for node in lab.nodes))
    for item in platforms:
        lab.record.add(
            "done", node=item.node.name, ends=item.ends,
            peak_mb=round(item.peak),
        )  # fmt: skip
    often = [item for item in platforms if item.ends >= ENDS]
    if len(often) < 2:
        return []
    return [
        f"{item.node.name} ended {item.ends} times over its memory"
        for item in often
    ]


main(__file__, work)
