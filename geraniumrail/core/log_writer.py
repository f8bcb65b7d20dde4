"""Writes log lines to standard output without ever waiting for its reader."""

import asyncio
import logging
import os

# Lines of this much text wait for the reader; more are dropped and counted.
MAX_WAITING_BYTES = 262_144
FLUSH_INTERVAL_S = 0.1
STDOUT = 1


class LogWriter(logging.Handler):
    """Joins the lines of an interval into one write; lines over the limit are dropped."""

    def __init__(self, descriptor: int = STDOUT) -> None:
        """Makes the descriptor non-blocking; an event loop must be running.

        :param descriptor: of standard output.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._loop = asyncio.get_running_loop()
        self._lines: list[bytes] = []
        self._waiting_bytes = 0
        self._is_scheduled = False

    def emit(self, record: logging.LogRecord) -> None:
        """Keeps a line for the next write.

        :param record: of the logging library.
        """
        line = f'{record.created:.3f} {record.levelname[0]} {record.getMessage()}\n'.encode()
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._waiting_bytes += len(line)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon_threadsafe(self._loop.call_later, FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Writes what the reader takes now."""
        self._is_scheduled = False
        if not self._lines:
            return
        content = b''.join(self._lines)
        try:
            written = os.write(self._descriptor, content)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; there is no other place to say so.
            written = len(content)
        rest = content[written:]
        self._lines = [rest] if rest else []
        self._waiting_bytes = len(rest)
        if rest:
            self._is_scheduled = True
            self._loop.call_later(FLUSH_INTERVAL_S, self.flush)
        elif self.dropped:
            dropped = self.dropped
            self.dropped = 0
            logging.getLogger('absl').warning('log lines dropped: %d', dropped)
