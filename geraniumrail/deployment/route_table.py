"""Finds routes and organisations; built once for each version."""

from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.deployment.route import Route
from geraniumrail.deployment.service import ServiceSpec


class RouteTable:
    """Look-ups in one configuration."""

    def __init__(self, deployment: Deployment) -> None:
        """Indexes a configuration.

        :param deployment: the configuration.
        """
        self.version = deployment.version
        self.limits = deployment.limits
        self.services_by_name: dict[str, ServiceSpec] = {
            service.name: service for service in deployment.services
        }
        self.has_organisations = bool(deployment.organisations)
        self.organisations_by_name = {each.name: each for each in deployment.organisations}
        self._organisations_by_key: dict[str, Organisation] = {
            key: organisation
            for organisation in deployment.organisations
            for key in organisation.keys
        }
        self._routes_by_host: dict[str, list[Route]] = {}
        longest_first = sorted(deployment.routes, key=lambda route: -len(route.prefix))
        for route in longest_first:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, or None.

        :param host: name from the request; a port is ignored.
        :param path: path without the query, as it was sent.
        """
        routes = self._routes_by_host.get(host.partition(':')[0].lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def common_regions(self, host: str) -> frozenset[str] | None:
        """Returns the regions that all restricted routes of a host allow; None: none is restricted.

        :param host: name from the request; a port is ignored.
        """
        routes = self._routes_by_host.get(host.partition(':')[0].lower(), ())
        limits = [frozenset(route.allowed_regions) for route in routes if route.allowed_regions]
        return frozenset.intersection(*limits) if limits else None

    def organisation(self, key: str) -> Organisation | None:
        """Returns the holder of an API key, or None.

        :param key: as the caller sent it.
        """
        return self._organisations_by_key.get(key)
