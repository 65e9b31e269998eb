"""Uploads without a key, late in a planned stop of the node that takes them."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab2 import *  # noqa: F403

READ_AT = 1.6
READ_SECONDS = 3.9
"""Work of a `grade-lookup`; the site's longest is 5.3 s."""
UPLOADS_AT = 4.0
UPLOAD_SECONDS = 1.45
"""Work of a `report-upload`; the site's longest is 1.6 s."""
UPLOADS = 5
GAP_SECONDS = 0.05
AFTER_SECONDS = 3.0
"""A request that was sent later after the SIGTERM isn't excused."""


async def send(
    lab: Lab, node: Node, head: bytes, body: bytes, request_id: str
) -> tuple[float, int]:
    """Sends one request; returns when it was sent, and its status or 0."""
    writer = None
    at = time.monotonic()
    lab.record.add("sent", id=request_id)
    try:
        reader, writer = await asyncio.open_connection(HOST, node.callers)
        writer.write(head + body)
        answer = await asyncio.wait_for(read_message(reader), 8)
        lab.record.add(
            "answer", id=request_id, status=answer.status,
            seal=answer.fields.get("currantcart-server-seal", "none"),
            body=answer.body[:40],
        )  # fmt: skip
        return at, answer.status
    except LOST as error:
        lab.record.add("closed", id=request_id, error=type(error).__name__)
        return at, 0
    finally:
        if writer is not None:
            writer.close()


async def work(lab: Lab) -> list[str]:
    node = await lab.add("grades", "dar-a")
    other = await lab.add("reports", "dar-b")
    node.worker.work = lambda request: READ_SECONDS
    other.worker.work = lambda request: UPLOAD_SECONDS
    lab.store.put("op/config", config(
        [
            ["read", "/read/", "idempotent", 5, 2.5, 2, False, "grades"],
            ["up", "/up/", "upload", 3, 0.8, 2, True, "reports"],
        ],
        ["grades", "reports"], keys={"mill": ["k1"]},
    ))  # fmt: skip
    await lab.start()
    began = time.monotonic()
    ending = asyncio.create_task(node.terminate()) if TROUBLE else None
    await asyncio.sleep(READ_AT)
    read = asyncio.create_task(send(
        lab, node,
        head_of("GET", "/read/1", "read", key="k1", deadline_ms=10_000),
        b"", "read",
    ))  # fmt: skip
    await asyncio.sleep(UPLOADS_AT - READ_AT)
    uploads = []
    for number in range(UPLOADS):
        name = f"upload{number}"
        head = head_of("POST", "/up/1", name, deadline_ms=2_500, length=60_000)
        uploads.append(asyncio.create_task(
            send(lab, node, head, b"y" * 60_000, name)
        ))  # fmt: skip
        await asyncio.sleep(GAP_SECONDS)
    results = await asyncio.gather(*uploads)
    await read
    if ending is not None:
        await ending
    runs = {item for item, _, _ in other.worker.runs}
    return [
        f"upload{number}, sent {at - began:.1f} s after the SIGTERM, was at "
        f"work at a sound worker and got {status or 'no answer'}"
        for number, (at, status) in enumerate(results)
        if f"upload{number}" in runs
        and status != 200
        and at - began > AFTER_SECONDS
    ]


RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
"""What was sent, answered and run, with the times."""

main(RECORD, work)
