"""What the parts of one node share."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from currantcart import clock as clock_module
from currantcart.catalog import model as catalog_model
from currantcart.fleet import freshness
from currantcart.proxy import dialect as dialect_module
from currantcart.proxy import settings as proxy_settings
from currantcart.telemetry import counts, decisions


@dataclasses.dataclass(slots=True)
class Context:
    """Shared state of one node.

    Attributes:
      settings: Settings now in force.
      dialect: Header names of the deployment.
      keys: The same, as parsers look them up.
      process: Id of this process.
      catalog: Configuration in force; None before the first.
      freshness: How current it is known to be.
      draining: Whether the node sends its callers elsewhere.
      closing: Whether it answers callers that they must go elsewhere.
      pace_ms: Time between two statuses on a stream.
      leaving: Whether it takes no more requests for its target.
      started_at: When this process began.
    """

    settings: proxy_settings.ProxySettings
    dialect: dialect_module.Dialect
    keys: dialect_module.HeaderKeys
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
    draining: bool = False
    closing: bool = False
    leaving: bool = False
    pace_ms: float = 400.0
    started_at: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.started_at = self.now

    @property
    def now(self) -> float:
        """Milliseconds of the node's clock."""
        return self.clock.now()
