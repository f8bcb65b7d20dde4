"""Reads answers of the cloud API, whose length nobody else bounds."""

from aiohttp import ClientPayloadError, ClientResponse

MAX_ANSWER_BYTES = 4 * 1024 * 1024  # lists of instances and prices


async def read_answer(response: ClientResponse) -> bytes:
    """Returns the whole body.

    :param response: its head has arrived.
    :raises aiohttp.ClientError: if the body is longer than `MAX_ANSWER_BYTES` or incomplete.
    """
    parts = bytearray()
    async for part in response.content.iter_any():
        parts.extend(part)
        if len(parts) > MAX_ANSWER_BYTES:
            parts.clear()  # the traceback would keep them
            raise ClientPayloadError(f'more than {MAX_ANSWER_BYTES} bytes')
    return bytes(parts)
