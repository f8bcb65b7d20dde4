"""One deployment for all tests of a class."""

import asyncio
import json
import pathlib
import tempfile
import unittest
from collections.abc import Coroutine
from typing import Any

import aiohttp

from geraniumrail.testing.caller import Caller
from geraniumrail.testing.deployment import Deployment

LIMIT_S = 60


class DeploymentCase(unittest.TestCase):
    """Starts the entries and engines before the first test; the tests share an event loop."""

    entries = 3
    engines: tuple[tuple[str, ...], ...] = ()  # options of each engine

    @classmethod
    def setUpClass(cls) -> None:
        """Starts the deployment."""
        cls.loop = asyncio.new_event_loop()
        cls.addClassCleanup(cls.loop.close)
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.deployment = Deployment(pathlib.Path(folder.name), cls.entries, diskless=0)
        cls.addClassCleanup(cls._stop)
        cls.wait(cls._start())

    @classmethod
    def wait(cls, work: Coroutine[Any, Any, Any], limit_s: float = LIMIT_S) -> Any:
        """Runs a coroutine in the loop of the class."""
        return cls.loop.run_until_complete(asyncio.wait_for(work, limit_s))

    @classmethod
    def caller(cls, number: int = 0) -> Caller:
        """Returns a caller."""
        return Caller(cls.session, [place.callers for place in cls.deployment.places], seed=number)

    @classmethod
    async def post(cls, engine: str, path: str, **body: Any) -> None:
        """Sends a request to an engine's own address."""
        url = f'http://{cls.deployment.addresses_by_name[engine]}{path}'
        async with cls.session.post(url, json=body) as answer:
            answer.raise_for_status()

    @classmethod
    async def journal(cls, engine: str) -> dict[str, Any]:
        """Reads the journal of an engine."""
        url = f'http://{cls.deployment.addresses_by_name[engine]}/v1/journal'
        async with cls.session.get(url) as answer:
            return json.loads(await answer.read())

    @classmethod
    def logged(cls, *words: str) -> list[str]:
        """Returns the log lines of all entries that contain all of the words."""
        logs = (cls.deployment.folder / f'{place.name}.log' for place in cls.deployment.places)
        lines = (line for log in logs for line in log.read_text().splitlines())
        return [line for line in lines if all(word in line for word in words)]

    @classmethod
    async def _start(cls) -> None:
        cls.session = aiohttp.ClientSession()
        await cls.deployment.start()
        await asyncio.gather(
            *(
                cls.deployment.start_engine(f'engine-{number}', *options)
                for number, options in enumerate(cls.engines)
            )
        )
        await cls.deployment.until_served(len(cls.engines))

    @classmethod
    def _stop(cls) -> None:
        async def stop() -> None:
            await cls.session.close()
            await cls.deployment.stop()

        cls.wait(stop())
