"""One process of a deployment."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
import sys

READY_LIMIT_S = 30.0
STOP_LIMIT_S = 60.0
SHOWN_LINES = 40  # of a process that has ended
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


@dataclasses.dataclass(frozen=True)
class Process:
    """Started by `start`; its output goes to a file."""

    name: str
    process: asyncio.subprocess.Process
    log: pathlib.Path
    asked: list[int] = dataclasses.field(default_factory=list)  # signals that end a process

    @classmethod
    async def start(cls, name: str, folder: pathlib.Path, *args: str) -> 'Process':
        """Starts `python -m` with arguments.

        :param name: name of the log file.
        :param folder: folder of the log file.
        :param args: module and its arguments.
        """
        log = folder / f'{name}.log'
        with log.open('ab') as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *args,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': str(ROOT)},
            )
        return cls(name, process, log)

    async def address(self) -> str:
        """Returns the address that a stand-in printed.

        :raises TimeoutError: if it printed none.
        """
        async with asyncio.timeout(READY_LIMIT_S):
            while True:
                for line in self.log.read_text().splitlines():
                    if line.startswith('listening '):
                        return line.split()[1]
                if self.ended_by_itself:
                    raise TimeoutError(self.last_output())
                await asyncio.sleep(0.05)

    @property
    def ended_by_itself(self) -> bool:
        """Returns whether the process has ended although nobody asked it to."""
        return not self.alive and not self.asked

    def last_output(self) -> str:
        """Returns the exit code and the last lines of the output."""
        lines = self.log.read_text(errors='replace').splitlines()[-SHOWN_LINES:]
        return '\n'.join((f'{self.name} ended: {self.process.returncode}', *lines))

    @property
    def alive(self) -> bool:
        """Returns whether the process has not ended."""
        return self.process.returncode is None

    async def kill(self) -> None:
        """Ends the process without notice."""
        self._ask(signal.SIGKILL)
        await self.process.wait()

    async def terminate(self) -> int:
        """Asks the process to stop and returns its exit code."""
        self._ask(signal.SIGTERM)
        async with asyncio.timeout(STOP_LIMIT_S):
            return await self.process.wait()

    def freeze(self) -> None:
        """Stops the process from running, until `thaw`."""
        self._send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets a frozen process run again."""
        self._send(signal.SIGCONT)

    def _send(self, number: int) -> None:
        """Sends a signal; the error of a process that has ended shows its code and last output."""
        try:
            send_signal(self.process, number)
        except ProcessLookupError as error:
            error.add_note(self.last_output())
            raise

    def _ask(self, number: int) -> None:
        """Sends a signal to end, unless the process has ended by itself."""
        if self.alive:
            self.asked.append(number)
            with contextlib.suppress(ProcessLookupError):
                send_signal(self.process, number)


def send_signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Sends a signal to a process that was started here.

    The library's own call may collect the exit code of a process that has just ended; whoever waits
    for the process is then told 255.

    :param process: the process.
    :param number: of the signal.
    :raises ProcessLookupError: if it has ended.
    """
    if process.returncode is not None:
        raise ProcessLookupError
    os.kill(process.pid, number)
