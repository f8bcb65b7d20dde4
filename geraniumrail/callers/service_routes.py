"""`/s/<service>/<path>`: plain services."""

from aiohttp import web

from geraniumrail.callers.auth import owner_of
from geraniumrail.callers.bodies import read_body
from geraniumrail.callers.serving import Serving
from geraniumrail.core.ids import new_id
from geraniumrail.entry.plain_call import PlainCall
from geraniumrail.errors.request import EntryUnavailableError, InvalidRequestError, NotRunError
from geraniumrail.settings.path import is_name

MAX_KEY_LENGTH = 255
IDEMPOTENCY_KEY = 'Idempotency-Key'


class ServiceRoutes:
    """Passes requests on to plain services."""

    def __init__(self, serving: Serving) -> None:
        """Connects the entry.

        :param serving: the entry.
        """
        self._serving = serving

    def routes(self) -> list[web.RouteDef]:
        """Returns the route table."""
        return [web.route('*', '/s/{service}/{path:.*}', self.call)]

    async def call(self, request: web.Request) -> web.Response:
        """Answers one request.

        :param request: the HTTP request.
        """
        owner = owner_of(request, 'caller')
        self._require_lease(request)
        body = await read_body(request, self._serving.max_body_bytes())
        path = f'/{request.match_info["path"]}'
        query = f'?{request.query_string}' if request.query_string else ''
        call = PlainCall(
            request_id=new_id('req'),
            organisation=owner.organisation,
            service=request.match_info['service'],
            method=request.method,
            path=f'{path}{query}',
            route=_route(request),
            content_type=request.headers.get('Content-Type', ''),
            body=body,
            idempotency_key=_key(request),
        )
        answer = await self._serving.call_service(call)
        response = web.Response(status=answer.status, body=answer.body)
        response.headers['Content-Type'] = answer.content_type or 'application/octet-stream'
        response.headers['X-Request-Id'] = call.request_id
        if answer.idempotency_key:
            response.headers[IDEMPOTENCY_KEY] = answer.idempotency_key
        return response

    def _require_lease(self, request: web.Request) -> None:
        try:
            self._serving.require_lease()
        except NotRunError as error:
            if _key(request):
                # The key may have run through another entry, so not_run could be false.
                raise EntryUnavailableError(reason=error.fields['reason']) from error
            raise


def _key(request: web.Request) -> str:
    key = request.headers.get(IDEMPOTENCY_KEY, '')
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise InvalidRequestError(reason=f'{IDEMPOTENCY_KEY} is malformed')
    return key


def _route(request: web.Request) -> str:
    """Returns the first part of the path, such as `bookings`; the root has the route `root`."""
    first = request.match_info['path'].partition('/')[0] or 'root'
    if not is_name(first):
        raise InvalidRequestError(reason='the first part of the path is not a route name')
    return first
