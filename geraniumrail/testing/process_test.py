"""Checks what is shown of a process that has ended."""

import pathlib
import signal
import subprocess
import tempfile
from unittest import IsolatedAsyncioTestCase, main, mock

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
            process = await Process.start('killed', pathlib.Path(folder), 'timeit', '--number=1e9')
            with mock.patch.object(subprocess.Popen, 'poll', side_effect=AssertionError):
                process.freeze()
                await process.kill()
            self.assertEqual(process.process.returncode, -signal.SIGKILL)


if __name__ == '__main__':
    main()
