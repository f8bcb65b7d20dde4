"""Guards the log: a reader that does not read must not stop the process, and losses are counted."""

import asyncio
import logging
import os
import unittest

from geraniumrail.core.log_writer import MAX_WAITING_BYTES, LogWriter

LIMIT_S = 20


def record(text):
    return logging.LogRecord('test', logging.INFO, 'file', 1, text, (), None)


class LogWriterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.writer = LogWriter(writer)

    async def test_lines_are_written_together(self):
        for number in range(3):
            self.writer.emit(record(f'line-{number}'))
        async with asyncio.timeout(LIMIT_S):
            found = await asyncio.to_thread(os.read, self.reader, 65536)
        self.assertEqual(
            [line.split()[-1] for line in found.splitlines()],
            [
                b'line-0',
                b'line-1',
                b'line-2',
            ],
        )

    async def test_full_pipe_does_not_block(self):
        line = record('x' * 1000)
        for _ in range(MAX_WAITING_BYTES // 500):
            self.writer.emit(line)
        self.writer.flush()  # fills the pipe; the rest waits
        for _ in range(MAX_WAITING_BYTES // 500):
            self.writer.emit(line)
        self.writer.flush()
        self.assertGreater(self.writer.dropped, 0)
        os.set_blocking(self.reader, False)
        self.assertTrue(os.read(self.reader, 1 << 20).startswith(b'1'))


if __name__ == '__main__':
    unittest.main()
