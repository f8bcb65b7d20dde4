"""Failures of the links between daemons."""

from geraniumrail.errors.base import GeraniumrailError


class LinkError(GeraniumrailError):
    """A call to another daemon got no answer; it may have been carried out."""

    type_name = 'link_failed'
    status = 503
    template = 'no answer from {address}: {reason}'


class NoControlError(LinkError):
    """No control member could be reached in time."""

    type_name = 'no_control'
    template = 'no control member answered within {limit_s} s: {reason}'


class UnknownCallError(LinkError):
    """The other daemon has no handler for the record."""

    type_name = 'unknown_call'
    template = '{address} does not handle {name}'


class RelayRefusedError(LinkError):
    """The other entry has opened no connection to a backend server; nothing was sent there."""

    type_name = 'relay_refused'
    template = 'no relayed connection to {address}: {reason}'
