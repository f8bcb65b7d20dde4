"""When requests with some trait were last answered."""

import collections

from geraniumrail.quarantine.fingerprint import is_fingerprint

MAX_PARTS = 4096
MAX_FINGERPRINTS = 4096

Key = tuple[str, str]  # service and trait


class SoundTimes:
    """Bounded; the many fingerprints of requests don't displace the prompt parts."""

    def __init__(self) -> None:
        """Starts empty."""
        self._at_by_part: collections.OrderedDict[Key, float] = collections.OrderedDict()
        self._at_by_fingerprint: collections.OrderedDict[Key, float] = collections.OrderedDict()

    def record(self, key: Key, at: float) -> None:
        """Records an answer.

        :param key: service and trait of the request.
        :param at: when the answer began, seconds of this process's clock.
        """
        times, limit = self._at_by_part, MAX_PARTS
        if is_fingerprint(key[1]):
            times, limit = self._at_by_fingerprint, MAX_FINGERPRINTS
        times[key] = max(at, times.pop(key, at))
        while len(times) > limit:
            times.popitem(last=False)

    def last(self, key: Key) -> float:
        """Returns when the newest answer began; 0: none is known.

        :param key: service and trait of the request.
        """
        known = self._at_by_part.get(key)
        return self._at_by_fingerprint.get(key, 0) if known is None else known
