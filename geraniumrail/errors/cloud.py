"""Failures of the cloud API and the weight store."""

from geraniumrail.errors.base import GeraniumrailError


class PlatformError(GeraniumrailError):
    """The platform did not do what was asked; `reason` has its answer."""

    type_name = 'platform_failed'
    status = 502
    template = '{service} failed: {reason}'


class PlatformUnreachableError(PlatformError):
    """No answer arrived; a start or an end may have been carried out."""

    type_name = 'platform_unreachable'
    template = '{service} gave no answer: {reason}'


class StartRefusedError(PlatformError):
    """The cloud has no capacity of this class in this data centre; nothing was started."""

    type_name = 'start_refused'
    status = 503
    template = 'start of {machine_class} in {data_centre} refused: {reason}'


class RateLimitedError(PlatformError):
    """The weight store asks to wait."""

    type_name = 'rate_limited'
    status = 503
    template = 'weight store refused {name}: retry after {retry_after_s} s'


class WeightsIncompleteError(PlatformError):
    """The transfer ended before the announced length."""

    type_name = 'weights_incomplete'
    template = 'weights {name} ended after {received_bytes} of {expected_bytes} bytes'
