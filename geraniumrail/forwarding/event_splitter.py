"""Cuts a stream into whole events."""

# Far above any event; a backend server whose event does not end must not fill the memory.
MAX_EVENT_BYTES = 1024 * 1024
_SEPARATOR = b'\n\n'
_ID = b'id:'


class EventTooLongError(ValueError):
    """An event does not end."""


class EventSplitter:
    """Holds back the beginning of an event until its end has arrived.

    Invariant: `last_id` is the id of the last event that was returned.
    """

    def __init__(self, last_id: str = '') -> None:
        """Starts before the first event.

        :param last_id: id of the last event that was sent on before.
        """
        self.last_id = last_id
        self.events = 0
        self._held = b''

    @property
    def rest(self) -> bytes:
        """The beginning of an event that has not ended."""
        return self._held

    def restart(self) -> None:
        """Drops the beginning of an event: the next part comes from another backend server."""
        self._held = b''

    def feed(self, content: bytes) -> bytes:
        """Returns the whole events that have arrived.

        :param content: next part of the stream.
        :raises EventTooLongError: if the event that has begun is too long.
        """
        held = self._held + content
        end = held.rfind(_SEPARATOR)
        if end < 0:
            if len(held) > MAX_EVENT_BYTES:
                raise EventTooLongError(f'more than {MAX_EVENT_BYTES} bytes without an end')
            self._held = held
            return b''
        end += len(_SEPARATOR)
        whole = held[:end]
        self._held = held[end:]
        for event in whole.split(_SEPARATOR):
            self._note(event)
        return whole

    def _note(self, event: bytes) -> None:
        if not event.strip():
            return
        self.events += 1
        ids = (line for line in event.split(b'\n') if line.startswith(_ID))
        found = next(ids, None)
        if found is not None:
            self.last_id = found[len(_ID) :].strip().decode('latin-1')
