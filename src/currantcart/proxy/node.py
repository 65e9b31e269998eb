"""One node of a platform deployment: composition, start, ticks and shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
import socket
from collections.abc import Callable, Mapping

from currantcart import background, isolation
from currantcart.admission import connections
from currantcart.fleet import digest, evacuation, target_record
from currantcart.proxy import context as proxy_context
from currantcart.proxy import (
    control,
    gauges,
    memory,
    quarantine_page,
    shutdown,
    state_log,
    statuses,
)
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.callers import frontend
from currantcart.proxy.requests import intake, outbound
from currantcart.proxy.streams import (
    config_feed,
    frames,
    link,
    peers,
    publisher,
    registration,
    silence,
)
from currantcart.proxy.targets import guard, inbound, target_reports
from currantcart.store import counted, leased
from currantcart.telemetry import loop_errors
from currantcart.workspace import quota

TICK_SECONDS = 0.05
TICK_MS = 1_000 * TICK_SECONDS
TRANSIT_MS = 20.0
"""Time from sending an update until peers have processed it."""
RELAYED_STATUS_MS = digest.STATUS_MS + 2 * (digest.DIGEST_MS + TRANSIT_MS)
"""Time until all nodes have a status that goes through two relays."""
RELAYED_COUNTS_MS = 3 * TICK_MS + TRANSIT_MS
"""The same for expedited counts: each hop waits for a tick."""
SWEEP_TICKS = 10
RESTART_SECONDS = 0.5
# Longest wait of a starting node for the first status of a peer.
PEER_WAIT_SECONDS_MAX = 0.25
LEAVE_SECONDS = 0.02
FLUSH_SECONDS = 0.3
"""Longest wait for callers to read their last answers.

It is a part of the time that is reserved for closing the node.
"""
"""Time to send the leave message before the streams are closed."""


def dissemination_lag_ms(interval_ms: float) -> float:
    """Returns the time until peers have an update sent at a given interval.

    Periodic updates are sent on ticks, so the interval is rounded up to one.
    """
    return math.ceil(interval_ms / TICK_MS) * TICK_MS + TRANSIT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Properties of the platform that a node depends on.

    Attributes:
      operator_keys: Store keys that the operator writes.
      nodes_prefix: Prefix of the store keys of the nodes' entries.
      readiness_path: Path of the readiness probe.
      parse_config: Parses the operator's configuration.
      parse_report: Parses a report of a target from its path and body.
    """

    operator_keys: config_feed.OperatorKeys
    nodes_prefix: str
    readiness_path: str
    parse_config: config_feed.Parse
    parse_report: Callable[[str, bytes], target_record.Report]


class Node:
    """A running node.

    Attributes:
      guard: Admission to the local target.
      outbound: Routing of callers' requests.
      peers: The other nodes.
      peer_status_received: Set with the first status of a peer.
      discovered: Set after the store was asked for peers and the wait for a
        peer's first status has ended.
      ticks: Number of ticks since the start.
      published_changes: Changes of the target and of the version that all
        peers were told of, in a fleet with relays.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        store: leased.LeasedStore,
        deployment: Deployment,
    ) -> None:
        settings = context.settings
        store = counted.CountedStore(store, context.counts)
        self.context = context
        self.deployment = deployment
        self.quotas = quota.Quotas(started_at=context.started_at)
        self.record = target_record.TargetRecord()
        self.guard = guard.Guard(context)
        self.inbound = inbound.Inbound(context, self.guard)
        self.outbound = outbound.Outbound(
            context, local_guard=self.guard, quotas=self.quotas
        )
        self.callers = frontend.CallerServer(
            context,
            checks=intake.Intake(
                names=context.header_names,
                service=settings.service,
                revoke_ms=settings.bounds.revoke_seconds * 1_000,
                quotas=self.quotas,
                origin=self.guard.origin_of,
            ),
            router=self.outbound,
        )
        self.feed = config_feed.ConfigFeed(
            context,
            store=store,
            keys=deployment.operator_keys,
            parse=deployment.parse_config,
            on_change=self.apply_config,
            on_evacuation=self.apply_evacuation,
        )
        self.peer_status_received = asyncio.Event()
        self.statuses = statuses.Statuses(
            context,
            local_guard=self.guard,
            quotas=self.quotas,
            feed=self.feed,
            on_status=self.peer_status_received.set,
            on_target_left=lambda target_id, born: self.reports.apply_leave(
                target_id, born
            ),
        )
        self.peers = peers.Peers(
            context,
            status=self.statuses.status_for,
            on_status=self.statuses.apply_status,
            on_config=self.feed.handle_config,
            on_fetch=self.feed.exchange.handle_fetch,
            on_call_frame=self.handle_call_frame,
            on_lost=self.handle_link_lost,
            on_gone=lambda peer: self.quotas.remove_peer(peer.member.process),
            on_counts=self.statuses.apply_counts,
            on_row=self.statuses.apply_row,
            own_status=self.statuses.own_status,
            reported_counts=lambda process: self.quotas.reported.get(
                process, {}
            ),
            counts=self.statuses.counts_for,
        )
        self.silence = silence.SilenceDetector(
            context,
            peers=self.peers.by_instance.values,
            status=self.statuses.status_for,
        )
        self.outbound.peers = self.peers
        self.statuses.peers = self.peers
        self.guard.publish = self.peers.publish
        self.guard.overload.called_pressure = (
            self.outbound.ingress.called_pressure
        )
        self.guard.usage.level = self.own_service_level
        self.guard.usage.reported = lambda: self.outbound.usage_on(
            settings.service
        )
        self.feed.peers = self.peers
        self.feed.exchange.peers = self.peers
        self.guard.hand_backs.targets = lambda: (
            self.peers.reachability.reachable(settings.service)
        )
        self.registration = registration.Registration(
            context,
            store=store,
            prefix=deployment.nodes_prefix,
            member=self.peers.member,
            record=self.record,
            on_members=self.peers.update_members,
            on_restored=lambda: self.reports.apply_restored(),
            peer_count=lambda: len(self.peers.by_instance),
        )
        self.servers: list[asyncio.Server] = []
        self.background = background.Background(
            context.loop,
            restart_seconds=RESTART_SECONDS,
            on_failure=self.background_failed,
        )
        self.reports = target_reports.TargetReports(
            context,
            parse=deployment.parse_report,
            record=self.record,
            local_guard=self.guard,
            registration=self.registration,
            publish=self.peers.publish,
            hold=self.background.hold,
        )
        self.guard.on_leaving = self.reports.apply_leave
        self.state_log = state_log.StateLog(
            context, quotas=self.quotas, budgets=self.outbound.retries.budgets
        )
        self.memory = memory.MemoryWatch(context)
        self.discovered = asyncio.Event()
        self.ticks = 0
        self.published_changes = 0
        gauges.register(
            context,
            local_guard=self.guard,
            router=self.outbound,
            peers=self.peers,
            callers=self.callers,
            state_log=self.state_log,
            silent_share=self.silent_share,
            failing_work=self.background.failing,
            memory_watch=self.memory,
        )

    def own_service_level(self) -> float:
        """Returns the overload level of the local target's service."""
        service = self.context.settings.service
        return self.outbound.pressure_on(service).get(service, 0.0)

    # Events from peers.

    def handle_call_frame(self, item: link.Link, frame: frames.Frame) -> None:
        """Dispatches a call frame to the outbound or the inbound side."""
        if item.dialled:
            self.outbound.attempts.handle_frame(item, frame)
        else:
            self.inbound.handle_frame(item, frame)

    def handle_link_lost(self, item: link.Link) -> None:
        """Ends all calls on a stream that was lost."""
        if item.dialled:
            self.outbound.attempts.link_lost(item)
        else:
            self.inbound.handle_link_lost(item)

    def apply_config(self) -> None:
        """Applies the rates and limits of a new configuration."""
        catalog = self.context.catalog
        assert catalog is not None
        self.quotas.configure(catalog.rates(), self.context.now)
        self.callers.rate_wait.review()
        self.guard.warm_up.configure()

    def apply_evacuation(self, change: evacuation.Change) -> None:
        """Stops or resumes the placement on targets of a failure domain."""
        self.peers.reachability.invalidate()
        if self.peers.relay.is_acting:
            # The nodes that it reaches first have no streams to all others.
            self.peers.publish()
        own = self.context.settings.failure_domain
        if own in change.evacuated:
            self.guard.refuse_waiting("domain_evacuated")
        if own in change.restored:
            # The target may have become cold meanwhile.
            self.guard.warm_up.assume_cold(self.guard.target_id)

    # Probes and metrics.

    def is_ready(self) -> bool:
        """Returns whether the platform should route callers to this node."""
        return (
            self.context.catalog is not None
            and (self.discovered.is_set() or bool(self.peers.by_instance))
            and not self.context.draining
        )

    async def probe(
        self, request: control.ControlRequest
    ) -> control.ControlResponse:
        """Answers the readiness probe."""
        if request.path.partition("?")[0] != self.deployment.readiness_path:
            return control.ControlResponse(404)
        return control.ControlResponse(200 if self.is_ready() else 503)

    async def metrics(
        self, request: control.ControlRequest
    ) -> control.ControlResponse:
        """Returns the metrics in the Prometheus text format.

        The same port shows operators the requests under which targets ended.
        """
        if request.path.partition("?")[0] == quarantine_page.PATH:
            return quarantine_page.answer(self.context, request)
        # The client library takes a fifth of a node's start to import, and
        # most nodes are never scraped.
        from currantcart.telemetry import exposition

        text = exposition.render(self.context.counts)
        return control.ControlResponse(200, text, "text/plain; version=0.0.4")

    # Start and periodic work.

    async def start(
        self, sockets: Mapping[str, socket.socket] | None = None
    ) -> None:
        """Serves all ports but the metrics, and starts the background tasks.

        Args:
          sockets: Sockets that listen already, by address. Other addresses are
            bound here.

        Raises:
          OSError: A port could not be bound.
        """
        listen = self.context.settings.listen
        ports: list[tuple[str, Callable[[], asyncio.Protocol], int]] = [
            (listen.peers, self.peers.accept, 256),
            (listen.callers, self.callers.accept, 1_024),
            (listen.readiness, self.control_of(self.probe), 32),
            (listen.reports, self.control_of(self.reports.answer), 32),
        ]
        for address, factory, backlog in ports:
            opened = sockets[address] if sockets else None
            await self.serve_port(address, factory, backlog, opened)
        self.background.keep(self.discover_peers)
        self.background.keep(self.registration.run)
        self.background.keep(self.feed.watch)
        self.background.keep(self.run_ticks)

    async def serve_port(
        self,
        address: str,
        factory: Callable[[], asyncio.Protocol],
        backlog: int,
        opened: socket.socket | None,
    ) -> None:
        """Serves a port until the node stops.

        Args:
          address: Address of the port.
          factory: Returns the protocol of a connection.
          backlog: Connections that may wait to be accepted.
          opened: Socket that listens on the address, if there is one.

        Raises:
          OSError: The port could not be bound.
        """
        loop = self.context.loop
        if opened is None:
            host, port = proxy_settings.split_address(address)
            server = await loop.create_server(
                factory, host, port, backlog=backlog
            )
        else:
            server = await loop.create_server(
                factory, sock=opened, backlog=backlog
            )
        self.servers.append(server)

    def control_of(
        self, handler: control.Handler
    ) -> Callable[[], control.ControlConnection]:
        """Returns the protocol factory of a control port."""
        return lambda: control.ControlConnection(handler, self.context.loop)

    async def discover_peers(self) -> None:
        """Reads the members and the previous process's record from the store.

        Waits a short time for a peer's first status, so that a node that has
        peers becomes ready only with their state. Afterwards it applies a
        report of the target that has arrived meanwhile, or else the target
        that the previous process recorded.
        """
        await self.registration.start()
        self.feed.peers_listed_at = self.context.now
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEER_WAIT_SECONDS_MAX):
                await self.peer_status_received.wait()
        self.discovered.set()
        await self.registration.confirmed.wait()
        await self.reports.apply_first()
        self.reports.use_restored()

    async def run_ticks(self) -> None:
        """Runs the periodic work every `TICK_SECONDS`."""
        while True:
            isolation.run(self.context.loop, self.tick)
            await asyncio.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Updates and publishes the node's state; every few ticks sweeps.

        A part that fails doesn't keep the others from running: quotas must be
        counted also while a stream to a peer can't be served.
        """
        self.ticks += 1
        loop = self.context.loop
        isolation.run(loop, self.publish_changes)
        isolation.run(loop, self.outbound.refresh_local_target)
        expedited = self.quotas.expedited()
        isolation.run(loop, self.peers.tick, expedited)
        isolation.run(loop, self.feed.tick)
        isolation.run(loop, self.outbound.retries.record_fleet_size)
        now = self.context.now
        isolation.run(loop, self.quotas.tick, now)
        isolation.run(loop, self.update_quotas, now, pressing=bool(expedited))
        if self.ticks % SWEEP_TICKS == 0:
            isolation.run(loop, self.sweep_callers)
            isolation.run(loop, self.check_memory)
            isolation.run(loop, self.state_log.log_changes, now)
            isolation.run(loop, self.context.quarantine.expire, now)
            isolation.run(loop, self.guard.exchange.pool.sweep, now)

    def publish_changes(self) -> None:
        """Publishes the status if peers are to be told of a change now."""
        is_overload_changed = self.guard.update_overload()
        is_evidence_due = self.statuses.evidence.is_due(
            relaying=self.peers.relay.is_acting
        )
        if (
            is_overload_changed
            or is_evidence_due
            or self.is_change_unpublished()
        ):
            self.peers.publish()

    def sweep_callers(self) -> None:
        """Closes connections of callers that are above the limit, or idle."""
        self.callers.bound.limit = connections.caller_limit(
            descriptors=self.context.settings.descriptors,
            peers=len(self.peers.by_instance),
            slots=self.guard.slot_count,
        )
        self.callers.sweep()

    def check_memory(self) -> None:
        """Logs it if the process comes near its memory limit."""
        self.memory.check(
            caller_connections=len(self.callers.connections),
            streams=len(self.peers.dialled) + len(self.peers.accepted),
            calls=len(self.outbound.calls),
            at_target=len(self.guard.running),
        )

    def is_change_unpublished(self) -> bool:
        """Returns whether all peers are to be told of a change now.

        In a fleet with relays, a change of the target or of the version has to
        be sent before counts with a later sequence number are.
        """
        changes = self.statuses.count_changes()
        if not self.peers.relay.enabled or changes == self.published_changes:
            return False
        self.published_changes = changes
        return True

    def silent_share(self) -> float:
        """Returns the share of the fleet that is silent, 0 to 1."""
        relay = self.peers.relay
        return relay.share if relay.enabled else self.silence.share()

    def update_quotas(self, now: float, *, pressing: bool) -> None:
        """Sets how many nodes admit requests, and when they report them.

        Args:
          now: Milliseconds of the node's clock.
          pressing: Whether a workspace is near its rate limit.
        """
        peer_count = len(self.peers.by_instance)
        if self.peers.relay.enabled:
            lag_ms = RELAYED_STATUS_MS
            expedited_lag_ms = RELAYED_COUNTS_MS
        else:
            self.silence.tick(probing=pressing)
            lag_ms = dissemination_lag_ms(self.context.status_interval_ms)
            expedited_lag_ms = dissemination_lag_ms(
                publisher.counts_interval_ms(peer_count)
            )
        self.quotas.set_silent_share(self.silent_share(), now)
        self.quotas.set_fleet(
            nodes=peer_count + 1,
            lag_ms=lag_ms,
            expedited_lag_ms=expedited_lag_ms,
        )

    def use_settings(self, settings: proxy_settings.ProxySettings) -> None:
        """Applies changed bounds; changed addresses need a restart."""
        before = self.context.settings
        self.context.settings = settings
        self.callers.use_settings()
        self.callers.intake.revoke_ms = settings.bounds.revoke_seconds * 1e3
        self.outbound.retries.use_bounds(settings.bounds)
        self.guard.warm_up.configure()
        self.guard.queue.use_fair(fair=settings.fair_shares.enabled)
        self.context.use_quarantine_limits()
        self.context.held.set_memory(settings.memory_mb)
        self.context.log.event(
            "settings_read",
            changed=settings != before,
            needs_restart=settings.listen != before.listen
            or settings.target != before.target,
        )

    def background_failed(self, failure: background.Failure) -> None:
        """Counts and logs the failure of background work."""
        self.context.counts.add("background_failures", failure.work)
        self.context.log.event(
            "background_failed",
            work=failure.work,
            in_a_row=failure.in_a_row,
            restart_ms=round(failure.restart_seconds * 1_000),
            error=loop_errors.shorten(repr(failure.error)),
            place=loop_errors.own_place(failure.error),
        )

    # Shutdown.

    def running(self) -> int:
        """Returns how many requests wait, are routed or run at the target."""
        return (
            len(self.outbound.calls)
            + len(self.guard.running)
            + self.callers.rate_wait.queue.requests
        )

    async def drain(self) -> int:
        """Drains the node and ends its registration.

        Returns:
          How many requests were still in progress and will be cut off.
        """
        self.registration.announce_end()
        cut = await shutdown.drain(
            self.context,
            running=self.running,
            publish=self.peers.publish,
            close_idle=self.callers.close_idle,
        )
        # Side by side: the store may be slow, and the grace period ends soon.
        await asyncio.gather(self.end_callers(), self.registration.end())
        return cut

    async def end_callers(self) -> None:
        """Answers the requests in progress, and closes callers' connections.

        The streams are closed after them: closing those first would send
        callers errors for requests that targets still run.
        """
        self.outbound.end_all()
        # Only requests of peers still wait; the slots that this has released
        # would start them.
        self.guard.refuse_waiting("draining")
        await self.callers.end(FLUSH_SECONDS)

    async def stop(self) -> None:
        """Closes all connections and ends the background tasks."""
        for server in self.servers:
            server.close()
        for task in list(self.background.tasks):
            task.cancel()
        await self.end_callers()
        self.peers.announce_leave()
        await asyncio.sleep(LEAVE_SECONDS)
        self.peers.close()
        self.guard.exchange.pool.close()
