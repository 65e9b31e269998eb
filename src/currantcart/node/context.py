"""State that all components of one node share."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from currantcart import clock as clock_module
from currantcart.admission import throttle
from currantcart.call import active, allowance
from currantcart.config import view as config_view
from currantcart.membership import isolation
from currantcart.routing import router
from currantcart.settings import model as settings_model
from currantcart.telemetry import log, metrics, record, trace
from currantcart.workspace import limiter


@dataclasses.dataclass(slots=True)
class NodeContext:
    """State and services of one node.

    Attributes:
      settings: Settings of the node.
      clock: Source of the time.
      loop: Event loop on which everything runs.
      rng: Source of random numbers for decisions.
      config: Configuration in force.
      active: Calls that are running at the target.
      router: Selects targets of all services.
      limiter: Rate limits of the workspaces.
      throttle: Sheds calls at ingress, by the shedding levels received.
      budget: Limits retries to a ratio of this node's first attempts.
      metrics: Metrics.
      recorder: Record of decisions on calls.
      tracing: Spans and their export.
      logger: Structured log.
      isolation: When this node last received from a peer or the store.
      draining: Whether the node is leaving.
    """

    settings: settings_model.Settings
    clock: clock_module.Clock
    loop: asyncio.AbstractEventLoop
    rng: random.Random
    config: config_view.ConfigState
    active: active.ActiveCalls
    router: router.Router
    limiter: limiter.RateLimiter
    throttle: throttle.IngressThrottle
    budget: allowance.RetryBudget
    metrics: metrics.Metrics
    recorder: record.Recorder
    tracing: trace.Tracing
    logger: log.Logger
    isolation: isolation.Isolation
    draining: bool = False

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self.settings.instance

    @property
    def controlled(self) -> bool:
        """Whether overload control is on."""
        return self.settings.overload_control


def build(
    settings: settings_model.Settings,
    *,
    clock: clock_module.Clock,
    loop: asyncio.AbstractEventLoop,
    rng: random.Random,
) -> NodeContext:
    """Builds the state of a starting node."""
    logger = log.get(instance=settings.instance)
    return NodeContext(
        settings=settings,
        clock=clock,
        loop=loop,
        rng=rng,
        config=config_view.ConfigState(),
        active=active.ActiveCalls(
            instance=settings.instance,
            incarnation=int(clock.wall()),
            fleet_secret=settings.secret(),
        ),
        router=router.Router(
            locality=router.Locality(settings.failure_domain, settings.region),
            rng=rng,
        ),
        limiter=limiter.RateLimiter(fleet_instances=settings.fleet_instances),
        throttle=throttle.IngressThrottle(rng=rng),
        budget=allowance.RetryBudget(),
        metrics=metrics.Metrics(),
        recorder=record.Recorder(wall=clock.wall),
        tracing=trace.Tracing(
            settings.trace, instance=settings.instance, rng=rng, logger=logger
        ),
        logger=logger,
        isolation=isolation.Isolation(now=clock.now()),
    )
