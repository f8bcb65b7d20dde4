"""Splits a stream of server-sent events."""

DATA = b'data:'


class LineTooLongError(ValueError):
    """A line is longer than the limit."""


class EventLines:
    """Splits received bytes into the payloads of `data:` lines; each byte is looked at once."""

    def __init__(self, limit_bytes: int) -> None:
        """Starts before the first byte.

        :param limit_bytes: greatest length of a line.
        """
        self._limit_bytes = limit_bytes
        self._unfinished: list[bytes] = []
        self._unfinished_bytes = 0

    def feed(self, received: bytes) -> list[bytes]:
        """Returns the payloads that are now complete.

        :param received: the next bytes of the stream.
        :raises LineTooLongError: if a line is longer than the limit.
        """
        if received.count(b'\n') == 2 and received.endswith(b'\n\n') and not self._unfinished:
            # One whole event, which is what an engine sends for a token.
            return [received[len(DATA) : -2].strip()] if received.startswith(DATA) else []
        if b'\n' not in received:
            self._keep(received)
            return []
        if self._unfinished:
            received = b''.join((*self._unfinished, received))
            self._unfinished.clear()
            self._unfinished_bytes = 0
        lines = received.split(b'\n')
        last = lines.pop()
        if last:
            self._keep(last)
        return [line[len(DATA) :].strip() for line in lines if line.startswith(DATA)]

    def _keep(self, received: bytes) -> None:
        self._unfinished.append(received)
        self._unfinished_bytes += len(received)
        if self._unfinished_bytes > self._limit_bytes:
            raise LineTooLongError(self._limit_bytes)
