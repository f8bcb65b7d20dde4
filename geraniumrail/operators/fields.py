"""Reads fields of operators' requests."""

from typing import Any

from aiohttp import web

from geraniumrail.callers.auth import owner_of
from geraniumrail.errors.request import InvalidRequestError

MAX_BODY_BYTES = 1_048_576
MAX_TEXT = 512


def operator_of(request: web.Request) -> str:
    """Returns the name of the operator.

    :param request: the HTTP request.
    :raises UnauthorizedError: without a valid operator key.
    """
    return owner_of(request, 'operator').name


def text_field(body: dict[str, Any], name: str, longest: int = MAX_TEXT) -> str:
    """Returns a text field that is not empty.

    :param body: the parsed body.
    :param name: name of the field.
    :param longest: limit in characters.
    :raises InvalidRequestError: if it is missing or malformed.
    """
    text = body.get(name)
    if not isinstance(text, str) or not 0 < len(text) <= longest:
        raise InvalidRequestError(reason=f'{name} must be a text of 1 to {longest} characters')
    return text


def whole_field(body: dict[str, Any], name: str) -> int:
    """Returns a whole number from 0.

    :param body: the parsed body.
    :param name: name of the field.
    :raises InvalidRequestError: if it is missing or malformed.
    """
    number = body.get(name)
    if isinstance(number, bool) or not isinstance(number, int) or number < 0:
        raise InvalidRequestError(reason=f'{name} must be a whole number from 0')
    return number


def seconds_field(body: dict[str, Any], name: str) -> float:
    """Returns a positive number of seconds.

    :param body: the parsed body.
    :param name: name of the field.
    :raises InvalidRequestError: if it is missing or malformed.
    """
    number = body.get(name)
    if isinstance(number, bool) or not isinstance(number, int | float) or number <= 0:
        raise InvalidRequestError(reason=f'{name} must be a positive number of seconds')
    return float(number)


def flag_field(body: dict[str, Any], name: str) -> bool:
    """Returns a flag.

    :param body: the parsed body.
    :param name: name of the field.
    :raises InvalidRequestError: if it is missing or malformed.
    """
    flag = body.get(name)
    if not isinstance(flag, bool):
        raise InvalidRequestError(reason=f'{name} must be true or false')
    return flag
