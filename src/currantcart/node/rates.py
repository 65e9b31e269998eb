"""Admits root calls to workspaces' rates, with token loans between nodes.

A call spends a local token if there is one; else the node requests a loan from
some of its peers, and refuses the call if none has tokens to spare.
"""

from __future__ import annotations

import asyncio
import dataclasses

from currantcart import errors
from currantcart.membership import model as membership_model
from currantcart.membership import table
from currantcart.node import context as node_context
from currantcart.node import links as node_links
from currantcart.wire import connection, messages
from currantcart.workspace import share

PEERS_ASKED = 4
ROUND_SECONDS_MAX = 0.05
BACKOFF_MS = 20.0
WANTED_SPAN_MS = 60.0
WANTED_MIN = 2.0


@dataclasses.dataclass(slots=True)
class Round:
    """One round of loan requests for one workspace.

    Attributes:
      workspace: Workspace whose tokens are requested.
      wanted: Tokens requested from each peer.
      asked_ms: Time before the first request was sent.
      open: Numbers of the requests that are not answered yet.
      done: Done when all requests are answered or the time limit of the round
        has passed.
    """

    workspace: str
    wanted: float
    asked_ms: float
    open: set[int]
    done: asyncio.Future[None]


class Rates:
    """Admission to the rates of workspaces at one node.

    Attributes:
      rounds: Rounds in progress, by workspace.
      open_requests: Round of each unanswered request, by number of the request.
      backoff_until: Time until which no loan is requested, by workspace,
        because the peers had no tokens to spare.
      number: Number of the latest request.
      dialling: Tasks that open a stream to send a request.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        *,
        links: node_links.Links,
        members: table.MemberTable,
    ) -> None:
        self.context = context
        self.links = links
        self.members = members
        self.rounds: dict[str, Round] = {}
        self.open_requests: dict[int, Round] = {}
        self.backoff_until: dict[str, float] = {}
        self.number = 0
        self.dialling: set[asyncio.Task[None]] = set()

    async def admit(self, workspace: str) -> None:
        """Spends one token of a workspace.

        Raises:
          errors.Refusal: Neither this node nor the peers that it asked have a
            token.
        """
        local_share = self.context.limiter.share_of(workspace)
        now = self.context.clock.now()
        if local_share is not None:
            local_share.count_demand(now)
            if local_share.take(now) or await self.take_loan(
                workspace, local_share, now
            ):
                return
        raise errors.Refusal(
            errors.Code.RATE_EXCEEDED,
            errors.Step.RATE,
            f"workspace {workspace} is over its rate",
            not_run=True,
            retry_after_ms=local_share.wait_ms(now)
            if local_share
            else BACKOFF_MS,
        )

    async def take_loan(
        self, workspace: str, local_share: share.Share, now: float
    ) -> bool:
        """Spends a token after a round of loans, which waiting calls share.

        Returns:
          Whether a token was spent.
        """
        if now < self.backoff_until.get(workspace, 0.0):
            return False
        present = self.rounds.get(workspace) or self.ask(
            workspace, local_share, now
        )
        if present is None:
            return False
        await asyncio.shield(present.done)
        if local_share.take(self.context.clock.now()):
            return True
        # The peers have no tokens to spare. With a round for each further call,
        # a workspace far over its rate would cause messages at every node.
        self.backoff_until[workspace] = self.context.clock.now() + BACKOFF_MS
        return False

    def ask(
        self, workspace: str, local_share: share.Share, now: float
    ) -> Round | None:
        """Starts a round of loan requests; None without an alive peer."""
        others = self.members.others(membership_model.Status.ALIVE)
        if not others:
            return None
        loop = self.context.loop
        peers = self.context.rng.sample(others, min(PEERS_ASKED, len(others)))
        started = Round(
            workspace=workspace,
            # Loans expire: tokens beyond the demand of the near future would
            # expire unused, and no node could spend them.
            wanted=max(
                WANTED_MIN, local_share.demand_over(WANTED_SPAN_MS) / len(peers)
            ),
            asked_ms=now,
            open=set(),
            done=loop.create_future(),
        )
        self.rounds[workspace] = started
        for peer in peers:
            self.request_loan(started, peer)
        loop.call_later(ROUND_SECONDS_MAX, self.close, started)
        return started

    def request_loan(
        self, loan_round: Round, peer: membership_model.Member
    ) -> None:
        """Requests a loan from one peer."""
        self.number += 1
        loan_round.open.add(self.number)
        self.open_requests[self.number] = loan_round
        message = messages.Ask(
            self.number, loan_round.workspace, loan_round.wanted
        )
        stream = self.links.usable_stream(peer.instance)
        if stream is not None:
            stream.send(message)
            return
        task = self.context.loop.create_task(self.dial_and_ask(peer, message))
        self.dialling.add(task)
        task.add_done_callback(self.dialling.discard)

    async def dial_and_ask(
        self, peer: membership_model.Member, message: messages.Ask
    ) -> None:
        """Opens a stream to a peer and sends it a request."""
        try:
            stream = await self.links.connect(peer)
        except errors.StreamError:
            self.handle_give(messages.Give(message.number, 0.0))
            return
        stream.send(message)

    def handle_message(
        self,
        message: messages.Ask | messages.Give,
        stream: connection.Connection,
    ) -> None:
        """Answers a peer's loan request, or processes a peer's answer."""
        if isinstance(message, messages.Give):
            self.handle_give(message)
            return
        local_share = self.context.limiter.share_of(message.workspace)
        now = self.context.clock.now()
        lent = (
            local_share.lend(message.amount, now)
            if local_share is not None
            else 0.0
        )
        stream.send(messages.Give(message.number, lent))

    def handle_give(self, give: messages.Give) -> None:
        """Adds a granted loan; drops a duplicate or unrequested one."""
        loan_round = self.open_requests.pop(give.number, None)
        if loan_round is None:
            return
        loan_round.open.discard(give.number)
        local_share = self.context.limiter.share_of(loan_round.workspace)
        if local_share is not None and 0 < give.amount <= loan_round.wanted:
            local_share.borrow(give.amount, asked_ms=loan_round.asked_ms)
        if not loan_round.open:
            self.close(loan_round)

    def close(self, loan_round: Round) -> None:
        """Ends a round and resumes the calls that wait for it."""
        if self.rounds.get(loan_round.workspace) is loan_round:
            del self.rounds[loan_round.workspace]
        for number in loan_round.open:
            self.open_requests.pop(number, None)
        if not loan_round.done.done():
            loan_round.done.set_result(None)
