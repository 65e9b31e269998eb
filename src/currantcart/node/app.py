"""One node: composition, start, event handling and shutdown."""

from __future__ import annotations

import asyncio
import random

from aiohttp import web

from currantcart import background, errors
from currantcart import clock as clock_module
from currantcart.membership import detector, table
from currantcart.membership import model as membership_model
from currantcart.node import (
    admin,
    context,
    distribute,
    forward,
    gossip,
    guard,
    ingress,
    links,
    operations,
    rates,
    target_watch,
)
from currantcart.settings import model as settings_model
from currantcart.store import port
from currantcart.wire import call_stream, connection, messages

RESTART_SECONDS = 1.0


class Node:
    """A running node.

    Attributes:
      context: Shared state.
      guard: Controls all access to the target.
      members: The member table.
      evacuated: Failure domains whose targets get no calls.
      stopping: Set when a shutdown was requested.
      stop_now: Set when it was requested again, which ends the draining.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        *,
        clock: clock_module.Clock,
        loop: asyncio.AbstractEventLoop,
        store: port.Store,
        rng: random.Random,
    ) -> None:
        self.context = context.build(settings, clock=clock, loop=loop, rng=rng)
        now = clock.now()
        self.store = store
        self.members = table.MemberTable(
            own=local_member(settings, int(clock.wall())), now=now
        )
        self.guard = guard.Guard(self.context)
        self.links = links.Links(self.context, service=self)
        self.distributor = distribute.Distributor(
            self.context,
            store=store,
            links=self.links,
            members=self.members,
            on_change=self.configuration_changed,
        )
        self.rates = rates.Rates(
            self.context, links=self.links, members=self.members
        )
        self.operations = operations.Operations(self.context, store=store)
        self.ingress = ingress.Ingress(
            self.context,
            operations=self.operations,
            rates=self.rates,
            forwarder=forward.Forwarder(
                self.context, links=self.links, arrive=self.guard.arrive
            ),
        )
        self.gossip = gossip.Gossip(
            self.context,
            failure_detector=detector.Detector(
                members=self.members, seeds=settings.seeds, rng=rng, now=now
            ),
            on_members_changed=self.members_changed,
            on_missing_state=self.distributor.fetch_from,
        )
        self.target_watch = target_watch.TargetWatch(
            self.context, members=self.members, gossip=self.gossip
        )
        self.background = background.Background(
            loop,
            restart_seconds=RESTART_SECONDS,
            on_failure=self.background_failed,
        )
        self.evacuated: frozenset[str] = frozenset()
        self.peers_server: asyncio.Server | None = None
        self.callers_server: asyncio.Server | None = None
        self.admin_runner = web.AppRunner(admin.build_app(self))
        self.stopping = asyncio.Event()
        self.stop_now = asyncio.Event()
        self.add_gauges()

    def add_gauges(self) -> None:
        """Registers the gauges that read this node's state."""
        admission, clock = self.guard.admission, self.context.clock
        gauge = self.context.metrics.gauge
        gauge("running", "Calls at the target", lambda: admission.running)
        gauge("waiting", "Calls that wait", lambda: admission.queue.size)
        gauge("limit", "Adaptive limit", lambda: admission.limit.value)
        gauge(
            "shed_level",
            "Highest priority shed lately, -1 without",
            lambda: admission.shed_level(clock.now()),
        )
        gauge(
            "config_revision",
            "Configuration revision in force",
            lambda: self.context.config.revision,
        )
        gauge(
            "domains_evacuated",
            "Failure domains whose targets get no calls",
            lambda: len(self.evacuated),
        )
        gauge(
            "members",
            "Members known",
            lambda: len(self.members.entries),
        )

    # Events of streams between nodes: implements `connection.Service`.

    def opened(self, stream: connection.Connection) -> None:
        """Registers a stream that a peer dialled, for calls to that peer."""
        self.links.streams.setdefault(stream.peer, stream)

    def call_arrived(
        self, opening: messages.Open, call: call_stream.CallStream
    ) -> None:
        """Passes a call from a peer to the guard."""
        self.guard.arrive(opening, call)

    def state_message(
        self,
        message: messages.Fetch | messages.State,
        stream: connection.Connection,
    ) -> None:
        """Processes a message about configuration and members."""
        self.distributor.state_message(message, stream)
        self.gossip.notify_changes()

    def rate_message(
        self,
        message: messages.Ask | messages.Give,
        stream: connection.Connection,
    ) -> None:
        """Processes a message about the rates of workspaces."""
        self.rates.handle_message(message, stream)

    def closed(
        self, stream: connection.Connection, error: Exception | None
    ) -> None:
        """Removes a stream that has ended; counts and logs its error."""
        self.links.remove(stream)
        if isinstance(error, errors.StreamError):
            self.context.metrics.streams.labels(error.code).inc()
            self.context.logger.warning(
                "stream ended",
                code=error.code,
                step=error.step,
                peer=error.peer or stream.peer,
                detail=error.detail,
            )

    # Changes of configuration and members.

    def configuration_changed(self) -> None:
        """Applies the workspaces of a new revision and announces it."""
        view = self.context.config.require()
        self.context.limiter.configure(
            view.workspaces.values(), self.context.clock.now()
        )
        self.members.record_revision(self.context.instance, view.revision)
        self.gossip.announce_revision()
        if view.evacuated != self.evacuated:
            self.context.logger.info(
                "evacuations changed",
                domains=",".join(sorted(view.evacuated)),
                before=",".join(sorted(self.evacuated)),
                revision=view.revision,
            )
            self.evacuated = view.evacuated
            self.members_changed()

    def members_changed(self) -> None:
        """Updates the router with the current members."""
        self.context.router.update(
            self.members.members(),
            self.context.clock.now(),
            evacuated=self.evacuated,
        )

    def is_ready(self) -> bool:
        """Returns whether the node is ready to serve calls."""
        return (
            self.context.config.view is not None
            and self.members.own.slots > 0
            and not self.context.draining
        )

    # Start and shutdown.

    async def start(self) -> None:
        """Opens all ports and starts the background tasks."""
        settings, loop = self.context.settings, self.context.loop
        listen = settings.listen
        host, port_number = settings_model.split_address(listen.peers)
        self.peers_server = await loop.create_server(
            self.links.accept,
            host,
            port_number,
            ssl=links.server_tls(settings.tls),
        )
        await loop.create_datagram_endpoint(
            lambda: self.gossip, local_addr=(host, port_number)
        )
        host, port_number = settings_model.split_address(listen.callers)
        self.callers_server = await loop.create_server(
            self.ingress.accept, host, port_number, backlog=1_024
        )
        await self.admin_runner.setup()
        host, port_number = settings_model.split_address(listen.admin)
        await web.TCPSite(self.admin_runner, host, port_number).start()
        for work in (
            self.gossip.run,
            self.distributor.join,
            self.distributor.watch,
            self.distributor.sync,
            self.target_watch.run,
        ):
            self.background.keep(work)
        if self.context.tracing.tracer is not None:
            self.background.keep(self.context.tracing.run)
        self.context.logger.info(
            "node started",
            service=settings.target.service,
            **listen.model_dump(),
        )

    def background_failed(self, failure: background.Failure) -> None:
        """Logs background work that failed, with its traceback."""
        self.context.logger.error(
            "background task failed",
            work=failure.work,
            in_a_row=failure.in_a_row,
            exc_info=failure.error,
        )

    def request_stop(self) -> None:
        """Starts a graceful shutdown; a second request ends it at once."""
        if self.stopping.is_set():
            self.stop_now.set()
        self.stopping.set()

    def stop_listening(self) -> None:
        """Stops accepting connections of callers."""
        if self.callers_server is not None:
            self.callers_server.close()

    async def stop(self) -> None:
        """Stops the background tasks and closes all connections and ports."""
        for task in list(self.background.tasks):
            task.cancel()
        await asyncio.gather(*self.background.tasks, return_exceptions=True)
        self.stop_listening()
        if self.peers_server is not None:
            self.peers_server.close()
        for caller in list(self.ingress.connections):
            caller.close()
        self.links.close()
        self.guard.pool.close()
        if self.gossip.transport is not None:
            self.gossip.transport.close()
        await self.admin_runner.cleanup()


def local_member(
    settings: settings_model.Settings, started: int
) -> membership_model.Member:
    """Returns the entry that a starting node announces for itself."""
    return membership_model.Member(
        instance=settings.instance,
        incarnation=started,
        started=started,
        status=membership_model.Status.ALIVE,
        peers=settings.listen.peers,
        admin=settings.listen.admin,
        failure_domain=settings.failure_domain,
        region=settings.region,
        service=settings.target.service,
        slots=0,
        ramp_ms=settings.target.ramp_ms,
        revision=0,
    )
