"""Checks what is shown of a process that has ended."""

import pathlib
import tempfile
import unittest

from geraniumrail.testing.process import Process


class ProcessTest(unittest.IsolatedAsyncioTestCase):
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


if __name__ == '__main__':
    unittest.main()
