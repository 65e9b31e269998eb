"""Commands that query running nodes."""

from __future__ import annotations

import asyncio
import json
import os
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from currantcart import errors
from currantcart.cli import base, logs, output
from currantcart.config import edits

IN_FORCE_POLLS = 70
IN_FORCE_POLL_SECONDS = 0.1
GONE = frozenset({"dead", "leaving"})
STATUS_COLUMNS = (
    "instance", "service", "domain", "status", "slots", "running", "waiting",
    "limit", "shed_level", "revision",
)  # fmt: skip


async def ask_members(
    address: str, path: str
) -> list[tuple[dict[str, Any], Any]]:
    """Queries every member that a node knows.

    Returns:
      Pairs of a member and its response. The response is None if the member
      did not respond, or is dead or leaving.
    """
    known = await base.ask_node(address, "/status")
    members = sorted(known["members"], key=lambda m: str(m["instance"]))

    async def ask(member: dict[str, Any]) -> Any:
        if member["status"] in GONE:
            return None
        try:
            return await base.ask_node(member["admin"], path)
        except errors.CurrantcartError:
            return None

    answers = await asyncio.gather(*(ask(member) for member in members))
    return list(zip(members, answers, strict=True))


def status_row(member: dict[str, Any], answer: Any) -> list[str]:
    """Returns the row of one member in the status table."""
    row = [
        member["instance"],
        member["service"],
        member["failure_domain"],
        member["status"] if answer or member["status"] in GONE else "silent",
        str(member["slots"]),
    ]
    if answer is None:
        return [*row, "-", "-", "-", "-", str(member["revision"])]
    return [
        *row,
        str(answer["running"]),
        str(answer["waiting"]),
        f"{answer['limit']:.0f}",
        str(answer["shed_level"]),
        str(answer["revision"]),
    ]


async def wait_in_force(address: str, revision: int) -> list[str]:
    """Polls until all members have applied a revision.

    Returns:
      The instances that have not confirmed the revision when the time is over;
      empty if all have.
    """
    missing: list[str] = []
    for _ in range(IN_FORCE_POLLS):
        answers = await ask_members(address, "/status")
        missing = [
            member["instance"]
            for member, answer in answers
            if member["status"] not in GONE
            and (answer is None or answer["revision"] < revision)
        ]
        if not missing:
            return []
        await asyncio.sleep(IN_FORCE_POLL_SECONDS)
    return missing


def show_in_force(command: base.BaseCommand, accepted: edits.Accepted) -> None:
    """Prints an accepted edit; given a node, waits until all confirm it.

    Raises:
      errors.CurrantcartError: Some members have not confirmed it in time.
    """
    output.accepted(command, accepted)
    if not (command.option("admin") or os.environ.get(base.ADMIN_VARIABLE)):
        return
    address = command.address("admin", base.ADMIN_VARIABLE)
    missing = asyncio.run(wait_in_force(address, accepted.revision))
    if missing:
        raise errors.CurrantcartError(
            errors.Code.PEER_UNREACHABLE,
            errors.Step.COMMAND,
            f"accepted, but not confirmed by {', '.join(missing)}",
        )
    output.result(command, "in force everywhere", in_force=True)


class StatusCommand(base.BaseCommand):
    """Shows the state of all members of the fleet."""

    name = "status"
    description = "Shows the fleet as one node knows it."
    options: ClassVar[list[Option]] = base.ADMIN_OPTIONS

    def handle(self) -> int:
        """Queries the node and every member it knows, and prints the table."""
        address = self.address("admin", base.ADMIN_VARIABLE)
        answers = asyncio.run(ask_members(address, "/status"))
        rows = [status_row(member, answer) for member, answer in answers]
        output.table(self, STATUS_COLUMNS, rows)
        return 0


class ExplainCommand(base.BaseCommand):
    """Shows the path of one call through the fleet."""

    name = "explain"
    description = "Tells the way of a call and its chain through the fleet."
    arguments: ClassVar[list[Argument]] = [
        argument("call_id", "Currantcart-Call-Id of the answer.")
    ]
    options: ClassVar[list[Option]] = [
        *base.ADMIN_OPTIONS,
        option(
            "logs", None, "Read log files or folders instead.", flag=False,
            multiple=True,
        ),
    ]  # fmt: skip

    def handle(self) -> int:
        """Prints the decisions on the call, from log files or all members."""
        if self.option("logs"):
            rows = logs.path_rows(self.argument("call_id"), self.option("logs"))
            output.table(self, logs.PATH_COLUMNS, rows)
            return 0
        address = self.address("admin", base.ADMIN_VARIABLE)
        call_id = self.argument("call_id")
        answers = asyncio.run(ask_members(address, f"/explain/{call_id}"))
        decisions = [
            {"instance": member["instance"], **decision}
            for member, answer in answers
            for decision in answer or []
        ]
        if not decisions:
            raise errors.CurrantcartError(
                errors.Code.NOT_FOUND,
                errors.Step.COMMAND,
                f"no node has a recorded decision on call {call_id}",
                peer=address,
            )
        decisions.sort(key=lambda decision: float(decision["wall_ms"]))
        if self.option("json"):
            self.line(json.dumps(decisions))
            return 0
        start_ms = decisions[0]["wall_ms"]
        columns = ["at_ms", "instance", "call", "event", "service", "detail"]
        rows = [
            [
                f"{d['wall_ms'] - start_ms:.1f}",
                d["instance"],
                d["call_id"],
                d["event"],
                d["service"],
                f"{d['peer']} {d['detail']}".strip(),
            ]
            for d in decisions
        ]
        output.table(self, columns, rows)
        return 0
