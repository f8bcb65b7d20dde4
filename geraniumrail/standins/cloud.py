"""Stand-in cloud API: `python -m geraniumrail.standins.cloud --help`."""

import argparse
import asyncio
import random

import msgspec
from aiohttp import web

from geraniumrail.standins.cloud_records import CloudFault, CloudRecords
from geraniumrail.standins.process import Serving, run, serve_until
from geraniumrail.standins.replies import error_reply, json_reply, read_json


class Cloud:
    """The HTTP side of the records; it starts no process."""

    def __init__(self, args: argparse.Namespace) -> None:
        """Creates the API; `start` binds it.

        :param args: options of `parser`.
        """
        self.args = args
        self.stopped = asyncio.Event()
        self.records = CloudRecords(random.Random(args.seed))
        self._prices = [_price(line) for line in args.price]

    async def start(self) -> Serving:
        """Binds the API."""
        application = web.Application()
        application.add_routes(
            (
                web.get('/prices', self._list_prices),
                web.post('/instances', self._start_instance),
                web.get('/instances', self._list_instances),
                web.delete('/instances/{instance}', self._end_instance),
                web.get('/notices', self._list_notices),
                web.post('/faults', self._fault),
            )
        )
        return await Serving.bind(application, self.args.listen)

    async def _list_prices(self, request: web.Request) -> web.Response:
        return json_reply({'prices': self._prices})

    async def _start_instance(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        data_centre = str(body['data_centre'])
        if self.records.refuses(data_centre):
            fields = {'data_centre': data_centre}
            return error_reply(503, 'start_refused', 'no capacity', fields)
        started = self.records.start(
            str(body['class']), data_centre, reclaimable=bool(body.get('reclaimable', True))
        )
        return json_reply(started, 201)

    async def _list_instances(self, request: web.Request) -> web.Response:
        return json_reply({'instances': list(self.records.instances_by_id.values())})

    async def _end_instance(self, request: web.Request) -> web.Response:
        ended = self.records.end(request.match_info['instance'])
        if ended is None:
            return error_reply(404, 'unknown_instance', 'the instance is not known')
        return json_reply(ended)

    async def _list_notices(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', 0))
        return json_reply({'notices': self.records.notices[after:]})

    async def _fault(self, request: web.Request) -> web.Response:
        try:
            fault = msgspec.convert(await read_json(request), CloudFault)
        except msgspec.ValidationError as error:
            return error_reply(400, 'invalid_fault', str(error))
        return json_reply({'notices': self.records.apply_fault(fault)})


def parser() -> argparse.ArgumentParser:
    """Returns the command line of the cloud API."""
    options = argparse.ArgumentParser(prog='geraniumrail.standins.cloud', description=__doc__)
    add = options.add_argument
    add('--listen', default='127.0.0.1:0', help='ip:port; port 0 takes a free one')
    add(
        '--price',
        nargs='*',
        default=[],
        metavar='CLASS,DATA_CENTRE,RECLAIMABLE,ON_DEMAND',
        help='prices for each hour',
    )
    add('--seed', type=int, default=1)
    return options


async def main(args: argparse.Namespace) -> None:
    """Runs one cloud API.

    :param args: parsed command line.
    """
    cloud = Cloud(args)
    await serve_until(await cloud.start(), cloud.stopped, cloud.stopped.set)


def _price(line: str) -> dict[str, object]:
    machine_class, data_centre, reclaimable, on_demand = line.split(',')
    return {
        'class': machine_class,
        'data_centre': data_centre,
        'reclaimable_per_h': float(reclaimable),
        'on_demand_per_h': float(on_demand),
    }


if __name__ == '__main__':
    run(main, parser().parse_args())
