"""One node of a deployment that a platform starts: parts, life, shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import Callable

from currantcart import background
from currantcart.admission import connections
from currantcart.fleet import target_record
from currantcart.proxy import context as proxy_context
from currantcart.proxy import control, shutdown, state_log, statuses
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
from currantcart.workspace import quota

TICK_SECONDS = 0.05
TICK_MS = 1_000 * TICK_SECONDS
TRANSIT_MS = 20.0
"""Time from a moment at which something is told until peers have heard it."""
SWEEP_TICKS = 10
RESTART_SECONDS = 0.5
PEER_SECONDS_MAX = 0.25
LEAVE_SECONDS = 0.02
"""Time for the announcement to be sent before the streams are cut."""


def heard_after_ms(pace_ms: float) -> float:
    """Returns the time after which peers have heard what is told at a pace."""
    return math.ceil(pace_ms / TICK_MS) * TICK_MS + TRANSIT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """What the composition knows of the platform.

    Attributes:
      config_key: Key of the operator's configuration.
      nodes_prefix: Prefix of the nodes' entries.
      readiness_path: Path of the readiness probe.
      parse_config: Reads the operator's configuration.
      parse_report: Reads a report of a target from its path and body.
    """

    config_key: str
    nodes_prefix: str
    readiness_path: str
    parse_config: config_feed.Parse
    parse_report: Callable[[str, bytes], target_record.Report]


class Node:
    """A running node.

    Attributes:
      guard: Admission to the target beside it.
      outbound: Routing of its callers' requests.
      peers: The other nodes.
      stopping: Set when a shutdown was asked for.
      peer_heard: Set once a peer's status was heard.
      found: Set once the store was asked who is there.
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
            context, own_guard=self.guard, quotas=self.quotas
        )
        self.callers = frontend.CallerServer(
            context,
            checks=intake.Intake(
                names=context.dialect,
                service=settings.service,
                revoke_ms=settings.bounds.revoke_seconds * 1_000,
                quotas=self.quotas,
            ),
            router=self.outbound,
        )
        self.feed = config_feed.ConfigFeed(
            context,
            store=store,
            key=deployment.config_key,
            parse=deployment.parse_config,
            on_change=self.config_changed,
        )
        self.peer_heard = asyncio.Event()
        self.statuses = statuses.Statuses(
            context,
            own_guard=self.guard,
            quotas=self.quotas,
            record=self.record,
            feed=self.feed,
            on_heard=self.peer_heard.set,
            on_left=lambda: self.registration.mark_dirty(),
        )
        self.peers = peers.Peers(
            context,
            status=self.statuses.status_for,
            on_status=self.statuses.status_heard,
            on_config=self.feed.config_heard,
            on_fetch=self.feed.exchange.fetch_heard,
            on_call_frame=self.call_frame,
            on_lost=self.link_lost,
            on_gone=lambda peer: self.quotas.forget(peer.member.process),
            on_counts=self.statuses.counts_heard,
            expedited=self.quotas.expedited,
        )
        self.silence = silence.Silence(
            context,
            peers=self.peers.by_instance.values,
            status=self.statuses.status_for,
        )
        self.outbound.peers = self.peers
        self.statuses.peers = self.peers
        self.guard.called_pressure = self.outbound.edge.called_pressure
        self.feed.peers = self.peers
        self.feed.exchange.peers = self.peers
        self.registration = registration.Registration(
            context,
            store=store,
            prefix=deployment.nodes_prefix,
            member=self.peers.member,
            record=self.record,
            on_members=self.peers.still_named,
            on_restored=lambda: self.reports.restored(),
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
            own_guard=self.guard,
            registration=self.registration,
            publish=self.peers.publish,
            hold=self.background.hold,
        )
        self.state_log = state_log.StateLog(
            context, quotas=self.quotas, budgets=self.outbound.repeats.budgets
        )
        self.stopping = asyncio.Event()
        self.found = asyncio.Event()
        self.ticks = 0
        self.add_gauges()

    # What comes from peers.

    def call_frame(self, item: link.Link, frame: frames.Frame) -> None:
        """Takes a frame of a call, from either side of it."""
        if item.dialled:
            self.outbound.attempts.frame(item, frame)
        else:
            self.inbound.frame(item, frame)

    def link_lost(self, item: link.Link) -> None:
        """Ends the calls on a stream."""
        if item.dialled:
            self.outbound.attempts.link_lost(item)
        else:
            self.inbound.link_lost(item)

    def config_changed(self) -> None:
        """Takes the rates of a new configuration."""
        catalog = self.context.catalog
        assert catalog is not None
        self.quotas.configure(catalog.rates(), self.context.now)

    # Probes and reports.

    def is_ready(self) -> bool:
        """Tells whether callers should come to this node."""
        return (
            self.context.catalog is not None
            and (self.found.is_set() or bool(self.peers.by_instance))
            and not self.context.draining
        )

    async def probe(
        self, request: control.ControlRequest
    ) -> control.ControlAnswer:
        """Answers the readiness probe."""
        if request.path.partition("?")[0] != self.deployment.readiness_path:
            return control.ControlAnswer(404)
        return control.ControlAnswer(200 if self.is_ready() else 503)

    async def metrics(
        self, request: control.ControlRequest
    ) -> control.ControlAnswer:
        """Tells the metrics."""
        del request
        text = self.context.counts.render()
        return control.ControlAnswer(200, text, "text/plain; version=0.0.4")

    def add_gauges(self) -> None:
        """Names what is read of this node's state when somebody asks."""
        known, queue = self.context.freshness, self.guard.queue
        self.context.counts.gauges = {
            "config_version": lambda: known.version,
            "config_age_seconds": lambda: known.age(self.context.now) / 1e3,
            "peers": lambda: len(self.peers.by_instance),
            "peers_silent_ratio": self.silence.share,
            "calls": lambda: len(self.outbound.calls),
            "caller_connections": lambda: len(self.callers.connections),
            "running": lambda: queue.running,
            "waiting": lambda: queue.waiting,
            "slots": lambda: queue.slots,
            "pressure": lambda: self.guard.gauge.level,
            "rates_exhausted": lambda: len(self.state_log.over_rate),
            "budgets_exhausted": lambda: len(self.state_log.spent),
            "retry_budget_nodes": lambda: (
                self.outbound.repeats.fixed_part.nodes
            ),
            "retry_budget_nodes_age_seconds": self.outbound.repeats.nodes_age,
            "log_bytes_dropped": lambda: self.context.log.dropped_bytes,
        }
        self.context.counts.service_gauges = self.outbound.repeats.gauges()

    # Life.

    async def start(self) -> None:
        """Opens all ports and starts the background work."""
        listen, loop = self.context.settings.listen, self.context.loop
        ports: list[tuple[str, Callable[[], asyncio.Protocol], int]] = [
            (listen.peers, self.peers.accept, 256),
            (listen.callers, self.callers.accept, 1_024),
            (listen.readiness, self.control_of(self.probe), 32),
            (listen.reports, self.control_of(self.reports.answer), 32),
        ]
        if listen.metrics:
            ports.append((listen.metrics, self.control_of(self.metrics), 8))
        for address, factory, backlog in ports:
            host, port_number = proxy_settings.split_address(address)
            self.servers.append(
                await loop.create_server(
                    factory, host, port_number, backlog=backlog
                )
            )
        self.background.keep(self.find_peers)
        self.background.keep(self.registration.run)
        self.background.keep(self.feed.watch)
        self.background.keep(self.run_ticks)
        self.context.log.event(
            "started",
            process=self.context.process,
            service=self.context.settings.service,
            callers=listen.callers,
        )

    def control_of(
        self, handler: control.Handler
    ) -> Callable[[], control.ControlConnection]:
        """Returns what makes the connections of a control port."""
        return lambda: control.ControlConnection(handler, self.context.loop)

    async def find_peers(self) -> None:
        """Reads who is there, and what the process before left."""
        await self.registration.start()
        self.feed.found_at = self.context.now
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEER_SECONDS_MAX):
                await self.peer_heard.wait()
        self.found.set()
        await self.registration.confirmed.wait()
        await self.reports.take_first()
        self.reports.use_restored()

    async def run_ticks(self) -> None:
        """Does what is due, at a steady pace."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Does what is due now."""
        self.ticks += 1
        if self.guard.update_gauge():
            self.peers.publish()
        self.outbound.refresh_own()
        self.peers.tick()
        self.feed.tick()
        self.outbound.repeats.note_fleet()
        now = self.context.now
        self.silence.tick(asking=bool(self.quotas.expedited()))
        self.quotas.set_silent(self.silence.share(), now)
        peer_count = len(self.peers.by_instance)
        self.quotas.set_fleet(
            nodes=peer_count + 1,
            lag_ms=heard_after_ms(self.context.pace_ms),
            expedited_lag_ms=heard_after_ms(
                publisher.counts_pace_ms(peer_count)
            ),
        )
        if self.ticks % SWEEP_TICKS == 0:
            self.callers.bound.limit = connections.caller_limit(
                descriptors=self.context.settings.descriptors,
                peers=len(self.peers.by_instance),
                slots=self.guard.slot_count,
            )
            self.callers.sweep()
            self.state_log.log_changes(now)
            self.guard.exchange.pool.sweep(now)

    def use_settings(self, settings: proxy_settings.ProxySettings) -> None:
        """Takes bounds that have changed; addresses need a new start."""
        before = self.context.settings
        self.context.settings = settings
        self.callers.intake.revoke_ms = settings.bounds.revoke_seconds * 1e3
        self.outbound.repeats.use_bounds(settings.bounds)
        self.context.log.event(
            "settings_read",
            changed=settings != before,
            needs_restart=settings.listen != before.listen
            or settings.target != before.target,
        )

    def background_failed(self, error: Exception) -> None:
        """Logs background work that failed."""
        self.context.log.event("background_failed", error=repr(error)[:200])

    # Shutdown.

    def running(self) -> int:
        """Returns how many requests are on their way or at the target."""
        return len(self.outbound.calls) + len(self.guard.running)

    async def drain(self) -> int:
        """Leaves without cutting a request; returns how many were cut."""
        cut = await shutdown.drain(
            self.context,
            running=self.running,
            publish=self.peers.publish,
            close_idle=self.callers.close_idle,
        )
        await self.registration.end()
        return cut

    async def stop(self) -> None:
        """Closes everything."""
        for server in self.servers:
            server.close()
        for task in list(self.background.tasks):
            task.cancel()
        # Callers first: losing the streams would have them told of failures
        # while their targets are at work.
        for connection in list(self.callers.connections):
            connection.end()
        self.peers.announce_leave()
        await asyncio.sleep(LEAVE_SECONDS)
        self.peers.close()
        self.guard.exchange.pool.close()
        self.context.log.event("stopped")
        self.context.log.flush()
