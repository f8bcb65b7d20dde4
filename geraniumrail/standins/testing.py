"""Starts stand-ins inside a test's event loop."""

import asyncio
import itertools
from collections.abc import Callable, Sequence

from geraniumrail.standins import engine, service
from geraniumrail.standins.engine_server import Engine
from geraniumrail.standins.service_server import Service

PLACE = ('--data-centre', 'cheras', '--region', 'klang-valley', '--report-lag-s', '0')


async def start_engine(options: Sequence[str] = (), instance: str = 'e1') -> Engine:
    """Starts a fast engine on a free port; `options` are added to its command line."""
    named = ('--instance', instance, '--service', 'model-bench', *PLACE)
    fast = ('--first-token-ms', '1', '--token-ms', '0.5', '--load-s', '0')
    started = Engine(engine.parser().parse_args([*named, *fast, *options]))
    await started.start()
    return started


async def start_service(options: Sequence[str] = (), instance: str = 's1') -> Service:
    """Starts a fast plain service on a free port; `options` are added to its command line."""
    named = ('--instance', instance, '--service', 'repair-desk', *PLACE)
    started = Service(service.parser().parse_args([*named, '--work-ms', '1', *options]))
    await started.start()
    return started


async def eventually(read: Callable[[], object], expected: object, limit_s: float = 20) -> None:
    """Waits until a value is as expected.

    :param limit_s: limit in seconds.
    :raises AssertionError: if the value still differs at the limit.
    """
    end = asyncio.get_running_loop().time() + limit_s
    for _ in itertools.count():
        if read() == expected:
            return
        if asyncio.get_running_loop().time() > end:
            raise AssertionError(f'{read()!r} is not {expected!r}')
        await asyncio.sleep(0.005)
