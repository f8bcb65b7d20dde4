"""Deterministic answers: token i is a pure function of the prompt and i."""

import zlib
from collections.abc import Iterable, Mapping
from typing import Any

DEFAULT_MAX_TOKENS = 16
_WORDS = (
    'chair seal pump valve piston hose gauge roof sheet ridge gutter screw '
    'warranty part visit price order stock cover check lift oil repair panel'
).split()


def token(prompt_digest: int, index: int) -> str:
    """Returns one token; the index is part of it, so that any gap or duplicate shows.

    :param prompt_digest: from `digest`.
    :param index: position in the answer, from 0.
    """
    drawn = zlib.crc32(b'%d' % index, prompt_digest)
    return f'{_WORDS[drawn % len(_WORDS)]}{index} '


def digest(prompt: str) -> int:
    """Returns the number from which the tokens of a prompt are drawn."""
    return zlib.crc32(prompt.encode())


def expected_text(prompt: str, max_tokens: int) -> str:
    """Returns the whole answer to a prompt."""
    prompt_digest = digest(prompt)
    return ''.join(token(prompt_digest, index) for index in range(max_tokens))


def prompt_of(body: Mapping[str, Any]) -> str:
    """Returns the prompt of a chat or text completion body as one text."""
    messages = body.get('messages')
    if messages is not None:
        return '\n'.join(
            f'{message.get("role")}: {_content(message.get("content"))}' for message in messages
        )
    prompt = body.get('prompt', '')
    return prompt if isinstance(prompt, str) else '\n'.join(map(str, prompt))


def max_tokens_of(body: Mapping[str, Any]) -> int:
    """Returns the number of tokens that a body asks for."""
    wanted = body.get('max_completion_tokens') or body.get('max_tokens')
    return DEFAULT_MAX_TOKENS if wanted is None else int(wanted)


def prompt_tokens(prompt: str) -> int:
    """Returns the length of a prompt in tokens: one for each word."""
    return max(1, len(prompt.split()))


def _content(content: str | Iterable[Mapping[str, Any]] | None) -> str:
    if content is None or isinstance(content, str):
        return content or ''
    return ''.join(part.get('text', '') for part in content)
