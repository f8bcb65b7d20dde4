"""Headers of requests to plain services and of their answers."""

from geraniumrail.backends.service_answer import ServiceAnswer


def request_headers(content_type: str, organisation: str) -> tuple[tuple[str, str], ...]:
    """Returns the headers that every attempt carries.

    :param content_type: of the caller's body.
    :param organisation: owner of the caller's API key.
    """
    named = (('X-Organisation', organisation), ('Content-Type', content_type))
    return tuple(pair for pair in named if pair[1])


def content_type_of(answer: ServiceAnswer) -> str:
    """Returns the content type of an answer.

    :param answer: the answer.
    """
    found = (value for name, value in answer.headers if name.lower() == 'content-type')
    return next(found, '')
