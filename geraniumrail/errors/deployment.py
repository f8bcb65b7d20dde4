"""Failures of outside configurations and of requests on their routes."""

from geraniumrail.errors.base import GeraniumrailError


class InvalidDeploymentError(GeraniumrailError):
    """The configuration is refused; nothing has changed."""

    type_name = 'invalid_configuration'
    status = 400
    template = 'configuration {version} is not valid: {reason}'


class UnknownRouteError(GeraniumrailError):
    """No route has this host and path."""

    type_name = 'unknown_route'
    status = 404
    template = 'no route matches {host} {path}'


class UnknownServiceMoveError(GeraniumrailError):
    """A version move of a service that the configuration doesn't have."""

    type_name = 'unknown_service_move'
    status = 404
    template = 'service {service} has no version move'
