"""Failures of HTTP headers."""

from geraniumrail.errors.request import RequestError


class HeadersTooLargeError(RequestError):
    """The request line or a header is over the limit."""

    type_name = 'headers_too_large'
    status = 431
    template = 'the request line or a header is too long'
