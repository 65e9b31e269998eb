"""The operators' services text: model, validation and conversion."""

from __future__ import annotations

import dataclasses
import graphlib
import re
from typing import Annotated, Literal

import pydantic

from currantcart import errors
from currantcart.graph import model
from currantcart.settings import jsonc, validation
from currantcart.settings import model as settings_model

TIME_PATTERN = r"^([01]\d|2[0-3]):[0-5]\d$"
OFFSET_PATTERN = r"^[+-](0\d|1[0-4]):[0-5]\d$"
PATIENCE_MS_MAX = 3_600_000
TimeOfDay = Annotated[str, pydantic.StringConstraints(pattern=TIME_PATTERN)]
ImportanceName = Literal["sheddable", "normal", "important", "critical"]
Patience = Annotated[float, pydantic.Field(gt=0, le=PATIENCE_MS_MAX)]


class SpanText(settings_model.StrictModel):
    """Call time-out for a part of the day."""

    start: TimeOfDay
    end: TimeOfDay
    patience_ms: Patience


class RouteText(settings_model.StrictModel):
    """A route with its own importance."""

    method: str = "*"
    path: str = pydantic.Field(default="/", pattern=r"^/")
    importance: ImportanceName
    idempotent: bool = False
    once: bool = False

    @pydantic.model_validator(mode="after")
    def check_once(self) -> RouteText:
        """Rejects a route that is both idempotent and once."""
        if self.once and self.idempotent:
            raise ValueError("either idempotent or once")
        return self


class ServiceText(settings_model.StrictModel):
    """One service in the text."""

    depends_on: list[settings_model.Name] = []
    importance: ImportanceName = "normal"
    max_importance: ImportanceName = "critical"
    idempotent: bool = False
    patience_ms: Patience = 10_000
    patience: list[SpanText] = []
    typical_ms: float = pydantic.Field(default=0, ge=0)
    retries: int = pydantic.Field(default=2, ge=0, le=10)
    routes: list[RouteText] = []


class ServicesText(settings_model.StrictModel):
    """The complete services text."""

    utc_offset: Annotated[
        str, pydantic.StringConstraints(pattern=OFFSET_PATTERN)
    ] = "+00:00"
    services: dict[settings_model.Name, ServiceText] = {}


def importance_of(name: str) -> model.Importance:
    """Returns the importance for a validated name."""
    return model.Importance[name.upper()]


def minute_of(time_of_day: str) -> int:
    """Returns the minute of the day of a validated `HH:MM`."""
    hours, minutes = time_of_day.split(":")
    return int(hours) * 60 + int(minutes)


def offset_minutes(text: str) -> int:
    """Returns the minutes of a validated UTC offset such as `+03:00`."""
    sign = -1 if text.startswith("-") else 1
    return sign * minute_of(re.sub(r"^[+-]", "", text))


def call_order(text: ServicesText) -> list[str]:
    """Returns the service names, each one after all that it depends on.

    Raises:
      graphlib.CycleError: The dependencies form a cycle.
    """
    edges = {
        name: service.depends_on for name, service in text.services.items()
    }
    return list(graphlib.TopologicalSorter(edges).static_order())


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """The longest call chain that starts at a service.

    Attributes:
      levels: Number of services in the chain, including the first.
      typical_ms: Largest sum of typical times over all chains from the
        service, in milliseconds.
    """

    levels: int
    typical_ms: float


def longest_chains(text: ServicesText, order: list[str]) -> dict[str, Chain]:
    """Returns the longest chain from each service.

    Args:
      text: Services text without cycles.
      order: Result of `call_order`.
    """
    chains: dict[str, Chain] = {}
    for name in order:
        service = text.services[name]
        callee_chains = [chains[callee] for callee in service.depends_on]
        chains[name] = Chain(
            levels=1
            + max((chain.levels for chain in callee_chains), default=0),
            typical_ms=service.typical_ms
            + max((chain.typical_ms for chain in callee_chains), default=0.0),
        )
    return chains


def top_importance(service: ServiceText) -> model.Importance:
    """Returns the highest importance of a root call to a service."""
    names = [
        service.importance,
        *(route.importance for route in service.routes),
    ]
    return max(importance_of(name) for name in names)


def check_service(text: ServicesText, name: str, chain: Chain) -> list[str]:
    """Returns the errors of one service.

    Args:
      text: Services text without cycles.
      name: Name of the service.
      chain: Longest chain from the service.
    """
    faults: list[str] = []
    service = text.services[name]
    if chain.levels > model.DEPTH_MAX:
        faults.append(
            f"services.{name}: found a chain of {chain.levels} levels, "
            f"allowed: {model.DEPTH_MAX}"
        )
    spans = [span.patience_ms for span in service.patience]
    least_ms = min([service.patience_ms, *spans])
    if chain.typical_ms > least_ms:
        faults.append(
            f"services.{name}: patience of {least_ms:g} ms cannot be met, "
            f"its chain typically takes {chain.typical_ms:g} ms"
        )
    top = top_importance(service)
    for callee in sorted({name, *service.depends_on}):
        if importance_of(text.services[callee].max_importance) < top:
            faults.append(
                f"services.{name}: importance {top.name.lower()} cannot be "
                f"met, {callee} allows at most "
                f"{text.services[callee].max_importance}"
            )
    return faults


def check(text: ServicesText) -> list[str]:
    """Returns all errors that concern several fields or services."""
    faults = [
        f"services.{name}.depends_on: found unknown {dependency!r}"
        for name, service in text.services.items()
        for dependency in service.depends_on
        if dependency not in text.services
    ]
    faults += [
        f"services.{name}.depends_on: found a name twice"
        for name, service in text.services.items()
        if len(set(service.depends_on)) < len(service.depends_on)
    ]
    if faults:
        return faults
    try:
        order = call_order(text)
    except graphlib.CycleError as error:
        return [f"services: found the cycle {' -> '.join(error.args[1])}"]
    chains = longest_chains(text, order)
    for name in text.services:
        faults += check_service(text, name, chains[name])
    return faults


def build_service(name: str, text: ServiceText) -> model.Service:
    """Converts one validated service to the model."""
    default = model.Route(
        method="*",
        path="/",
        importance=importance_of(text.importance),
        idempotent=text.idempotent,
    )
    routes = tuple(
        model.Route(
            method=route.method.upper(),
            path=route.path,
            importance=importance_of(route.importance),
            idempotent=route.idempotent,
            once=route.once,
        )
        for route in text.routes
    )
    spans = tuple(
        model.PatienceSpan(
            start_minute=minute_of(span.start),
            end_minute=minute_of(span.end),
            patience_ms=span.patience_ms,
        )
        for span in text.patience
    )
    return model.Service(
        name=name,
        depends_on=frozenset(text.depends_on),
        routes=(*routes, default),
        patience_ms=text.patience_ms,
        spans=spans,
        retries=text.retries,
        max_importance=importance_of(text.max_importance),
    )


def build_graph(text: ServicesText) -> model.Graph:
    """Converts a validated and checked text to the model."""
    return model.Graph(
        services={
            name: build_service(name, service)
            for name, service in text.services.items()
        },
        utc_offset_minutes=offset_minutes(text.utc_offset),
    )


def parse(text: str, *, source: str) -> ServicesText:
    """Parses, validates and checks a services text.

    Raises:
      errors.SettingsError: The text is not valid; the message lists all
        errors that `check` finds.
    """
    code = errors.Code.SERVICES_INVALID
    values = jsonc.parse_text(text, source=source, code=code)
    parsed = validation.validate(ServicesText, values, source=source, code=code)
    faults = check(parsed)
    if faults:
        raise errors.SettingsError(f"{source}: {'; '.join(faults)}", code=code)
    return parsed
