"""Checks what is shown of a process that has ended."""

import pathlib
import signal
import subprocess
import tempfile
from unittest import IsolatedAsyncioTestCase, main, mock

from geraniumrail.testing.deployment import (
    Deployment,
    DeploymentNotReadyError,
    ProcessesEndedError,
)
from geraniumrail.testing.process import Process


class ProcessTest(IsolatedAsyncioTestCase):
    async def test_signal_to_an_ended_process_shows_its_output(self):
        """A frozen process had ended, and neither its exit code nor its output was kept."""
        with tempfile.TemporaryDirectory() as folder:
            process = await Process.start('ended', pathlib.Path(folder), 'timeit', '--unknown')
            code = await process.process.wait()
            for send in (process.freeze, process.thaw):
                with self.assertRaises(ProcessLookupError) as found:
                    send()
                note = found.exception.__notes__[0]
                self.assertIn(f'ended ended: {code}', note)
                self.assertIn('--unknown', note)

    async def test_signal_does_not_collect_the_exit_code(self):
        """The exit code of a process that ended beside signals was lost; 255 was reported."""
        with tempfile.TemporaryDirectory() as folder:
            process = await Process.start(
                'killed', pathlib.Path(folder), 'timeit', '--number=1000000000'
            )
            with mock.patch.object(subprocess.Popen, 'poll', side_effect=AssertionError):
                process.freeze()
                await process.kill()
            self.assertEqual(process.process.returncode, -signal.SIGKILL)

    async def test_failure_shows_what_ended_by_itself(self):
        """A voter had ended before its test failed elsewhere, and its output was removed."""
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            ended = await Process.start('ended', folder, 'timeit', '--unknown')
            killed = await Process.start('killed', folder, 'timeit', '--number=1000000000')
            await ended.process.wait()
            await killed.kill()
            deployment = Deployment(folder)
            with mock.patch.object(Process, 'start', side_effect=(ended, killed)):
                await deployment.start_entry(deployment.places[0].name)
                await deployment.start_entry(deployment.places[0].name)
            with self.assertRaises(DeploymentNotReadyError) as unready:
                await deployment.until(mock.AsyncMock(return_value=False), 'no leader', limit_s=0)
            with self.assertRaises(ProcessesEndedError) as stopped:
                await deployment.stop()
            for found in (unready, stopped):
                self.assertIn('--unknown', str(found.exception))
                self.assertNotIn('killed', str(found.exception))


if __name__ == '__main__':
    main()
