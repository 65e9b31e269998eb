"""State that all components of one node share."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random

from currantcart import clock as clock_module
from currantcart import held_bytes
from currantcart.call import quarantine as quarantine_module
from currantcart.catalog import model as catalog_model
from currantcart.fleet import evacuation, freshness
from currantcart.proxy import header_names as header_names_module
from currantcart.proxy import settings as proxy_settings
from currantcart.telemetry import counts, decisions


@dataclasses.dataclass(slots=True)
class Context:
    """Shared state of one node.

    Attributes:
      settings: Settings in force.
      header_names: Header names of the deployment.
      keys: The same names, in the form that parsers look up.
      process: Id of this process.
      clock: Clock of the node.
      loop: Event loop that runs the node.
      rng: Source of random numbers.
      log: Log of the node's decisions.
      counts: Metrics of the node.
      catalog: Configuration in force; None before the first is received.
      freshness: How recently `catalog` was confirmed to be the newest version.
      evacuations: Failure domains whose targets must get no requests.
      quarantine: Requests under which targets have ended.
      draining: Whether the node shuts down: readiness fails, and callers'
        connections are closed after their next response.
      rejecting_callers: Whether the node rejects new requests of callers.
      ends_at: When the node ends the requests that are still in progress.
      leaving: Whether the node rejects new requests for its target.
      status_interval_ms: Time between two statuses on a stream.
      direct_interval_ms: The same for a node that sends its status to all
        others.
      held: Bodies in memory, against the memory of the process.
      started_at: Start of this process, in milliseconds of the node's clock.
    """

    settings: proxy_settings.ProxySettings
    header_names: header_names_module.HeaderNames
    keys: header_names_module.HeaderKeys
    process: str
    clock: clock_module.Clock
    loop: asyncio.AbstractEventLoop
    rng: random.Random
    log: decisions.DecisionLog
    counts: counts.Counts = dataclasses.field(default_factory=counts.Counts)
    catalog: catalog_model.Catalog | None = None
    freshness: freshness.Freshness = dataclasses.field(
        default_factory=freshness.Freshness
    )
    evacuations: evacuation.Evacuations = dataclasses.field(
        default_factory=evacuation.Evacuations
    )
    draining: bool = False
    rejecting_callers: bool = False
    ends_at: float = math.inf
    leaving: bool = False
    status_interval_ms: float = 400.0
    direct_interval_ms: float = 400.0
    held: held_bytes.HeldBytes = dataclasses.field(init=False)
    started_at: float = dataclasses.field(init=False)
    quarantine: quarantine_module.Quarantine = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.held = held_bytes.HeldBytes(self.settings.memory_mb)
        self.started_at = self.now
        self.quarantine = quarantine_module.Quarantine(self.quarantine_limits())

    def quarantine_limits(self) -> quarantine_module.Limits:
        """Returns the limits of the quarantine that the settings name."""
        limits = self.settings.quarantine
        return quarantine_module.Limits(
            ends_max=limits.ends_max,
            requests_max=limits.requests_max,
            suspect_ms=limits.suspect_seconds * clock_module.MS_PER_SECOND,
            quarantine_ms=limits.quarantine_seconds
            * clock_module.MS_PER_SECOND,
        )

    def use_quarantine_limits(self) -> None:
        """Applies changed limits of the quarantine to what is known."""
        self.quarantine.limits = self.quarantine_limits()

    @property
    def now(self) -> float:
        """Current time of the node's clock, in milliseconds."""
        return self.clock.now()
