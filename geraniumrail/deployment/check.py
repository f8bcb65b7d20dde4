"""Refuses configurations that can't be served."""

import collections
import itertools
from collections.abc import Iterable, Iterator

from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.route import KINDS, Route
from geraniumrail.errors.deployment import InvalidDeploymentError


def check(deployment: Deployment) -> None:
    """Checks a configuration before it is proposed.

    :param deployment: the configuration.
    :raises InvalidDeploymentError: naming the first fault.
    """
    fault = next(_faults(deployment), None)
    if fault is not None:
        raise InvalidDeploymentError(version=deployment.version, reason=fault)


def _faults(deployment: Deployment) -> Iterator[str]:
    if deployment.version <= 0:
        yield 'the version is not a positive number'
    services = [service.name for service in deployment.services]
    yield from (f'service {name} stands twice' for name in _repeated(services))
    for checked in deployment.routes:
        yield from _route_faults(checked, frozenset(services))
    places = [(route.host, route.prefix) for route in deployment.routes]
    yield from (f'two routes have host {host} and prefix {at}' for host, at in _repeated(places))
    names = [organisation.name for organisation in deployment.organisations]
    yield from (f'organisation {name} stands twice' for name in _repeated(names))
    keys = itertools.chain.from_iterable(
        frozenset(organisation.keys) for organisation in deployment.organisations
    )
    yield from ('two organisations share an API key' for _ in _repeated(list(keys)))


def _route_faults(route: Route, services: frozenset[str]) -> Iterator[str]:
    if route.kind not in KINDS:
        yield f'route {route.name} has the unknown kind {route.kind}'
    if route.timeout_s <= 0:
        yield f'route {route.name} has no timeout'
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        yield f'the prefix of route {route.name} does not start and end with a slash'
    unknown = (share.service for share in route.shares if share.service not in services)
    yield from (f'route {route.name} names the unknown service {name}' for name in unknown)
    weights = [share.weight for share in route.shares]
    if min(weights, default=0) < 0 or sum(weights) <= 0:
        yield f'the weights of route {route.name} do not add up to more than 0'


def _repeated(names: list) -> Iterable:
    return (name for name, count in collections.Counter(names).items() if count > 1)
