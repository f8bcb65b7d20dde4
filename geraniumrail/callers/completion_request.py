"""Checks a completion request and describes it for the entry."""

import math

from aiohttp import web

from geraniumrail.core.ids import new_id
from geraniumrail.core.prefix import prefix_digests
from geraniumrail.entry.completion_call import CompletionCall
from geraniumrail.errors.request import InvalidRequestError
from geraniumrail.routing.prefixes import CHARS_PER_TOKEN
from geraniumrail.settings.path import is_name

CHAT_PATH = '/v1/chat/completions'
DEFAULT_ANSWER_TOKENS = 256
MAX_ANSWER_TOKENS = 131_072


def describe(
    request: web.Request,
    body: dict[str, object],
    organisation: str,
    service: str,
) -> CompletionCall:
    """Returns the call for a checked body.

    :param request: the HTTP request.
    :param body: the parsed body.
    :param organisation: owner of the API key.
    :param service: service that serves the model.
    :raises InvalidRequestError: if a parameter is malformed.
    """
    prompt = prompt_of(request.path, body)
    if body.get('n', 1) != 1:
        raise InvalidRequestError(reason='n must be 1')
    return CompletionCall(
        request_id=new_id('req'),
        organisation=organisation,
        service=service,
        model=model_of(body),
        path=request.path,
        route=route_of(request, body),
        body=body,
        stream=_flag(body, 'stream'),
        adapter=str(body.get('adapter') or ''),
        prefixes=prefix_digests(prompt),
        prompt_tokens=math.ceil(len(prompt) / CHARS_PER_TOKEN),
        answer_tokens=_answer_tokens(body),
    )


def model_of(body: dict[str, object]) -> str:
    """Returns the name of the model.

    :param body: the parsed body.
    :raises InvalidRequestError: if it is missing.
    """
    model = body.get('model')
    if not isinstance(model, str) or not model:
        raise InvalidRequestError(reason='model must be a string')
    return model


def prompt_of(path: str, body: dict[str, object]) -> str:
    """Returns the text that the engine reads.

    :param path: path of the request.
    :param body: the parsed body.
    :raises InvalidRequestError: if it is missing or malformed.
    """
    if path != CHAT_PATH:
        prompt = body.get('prompt')
        if not isinstance(prompt, str):
            raise InvalidRequestError(reason='prompt must be a string')
        return prompt
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise InvalidRequestError(reason='messages must be a list that is not empty')
    return '\n'.join(_message_text(message) for message in messages)


def route_of(request: web.Request, body: dict[str, object]) -> str:
    """Returns the route: the header X-Route, `metadata.route`, or the default of the path.

    :param request: the HTTP request.
    :param body: the parsed body.
    :raises InvalidRequestError: if the name is malformed.
    """
    metadata = body.get('metadata')
    named = metadata.get('route') if isinstance(metadata, dict) else None
    default = 'chat' if request.path == CHAT_PATH else 'completions'
    route = request.headers.get('X-Route') or named or default
    if not isinstance(route, str) or not is_name(route):
        raise InvalidRequestError(reason='the route is not a name')
    return route


def _message_text(message: object) -> str:
    if not isinstance(message, dict) or not isinstance(message.get('role'), str):
        raise InvalidRequestError(reason='each message must be an object with a role')
    content = message.get('content')
    if isinstance(content, list):
        parts = (part.get('text', '') for part in content if isinstance(part, dict))
        content = ''.join(str(part) for part in parts)
    return f'{message["role"]}: {content}'


def _flag(body: dict[str, object], name: str) -> bool:
    value = body.get(name) or False
    if not isinstance(value, bool):
        raise InvalidRequestError(reason=f'{name} must be true or false')
    return value


def _answer_tokens(body: dict[str, object]) -> int:
    value = body.get('max_completion_tokens') or body.get('max_tokens') or DEFAULT_ANSWER_TOKENS
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise InvalidRequestError(reason='max_tokens must be a positive whole number')
    if value > MAX_ANSWER_TOKENS:
        raise InvalidRequestError(reason=f'max_tokens must be at most {MAX_ANSWER_TOKENS}')
    return value
