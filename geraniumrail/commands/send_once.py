"""Turns off the silent resend of the HTTP client library."""

import aiohttp


class ConnectionDroppedError(aiohttp.ClientError):
    """The connection ended after the request may have been sent."""


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Middleware that reports a lost connection instead of letting aiohttp send again.

    aiohttp resends PUT, DELETE and GET once when the connection is lost, even a new one. The
    caller would not learn that an earlier attempt may have run.

    :param request: the request.
    :param handler: the rest of the client.
    :raises ConnectionDroppedError: if the connection was lost after it was made.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as failure:
        raise ConnectionDroppedError(str(failure)) from failure
