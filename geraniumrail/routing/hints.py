"""Which prefixes a backend server probably holds in its cache."""

import collections
import dataclasses
import math
from collections.abc import Iterable, Iterator, Sequence

from geraniumrail.core.cache_event import CacheEvent

# About 300 bytes each; divided evenly over the backend servers with hints.
MAX_HINTS = 20_000
MIN_HINTS_PER_BACKEND = 64
HINT_LIFE_S = 300.0
# A sent prompt is usually cached, but the engine may have evicted it without an event so far.
SENT_WORTH = 0.9
# After a gap an eviction may have been missed for any prefix known before it.
GAP_WORTH = 0.5


@dataclasses.dataclass(frozen=True)
class Hint:
    """A sign that a prefix is cached."""

    at: float
    worth: float  # 0 to 1
    gaps: int  # gaps seen at this backend when the hint was made


class _BackendHints:
    def __init__(self) -> None:
        self.hints_by_prefix: collections.OrderedDict[str, Hint] = collections.OrderedDict()
        self.last_sequence: int | None = None
        self.gaps = 0


class PrefixHints:
    """Hints from cache events and from own sends, bounded for each backend server."""

    def __init__(self) -> None:
        """Starts without hints."""
        self._hints_by_backend: dict[str, _BackendHints] = {}
        self._backends_by_prefix: dict[str, dict[str, None]] = {}

    def observe(self, backend_id: str, events: Iterable[CacheEvent], now: float) -> None:
        """Takes in cache events; a gap in the sequence lowers the worth of older hints.

        :param backend_id: instance.
        :param events: events as announced; those seen before are ignored.
        :param now: monotonic seconds.
        """
        hints = self._hints_by_backend.setdefault(backend_id, _BackendHints())
        for event in sorted(events, key=lambda one: one.sequence):
            if hints.last_sequence is not None and event.sequence <= hints.last_sequence:
                continue
            if hints.last_sequence is not None and event.sequence > hints.last_sequence + 1:
                hints.gaps += 1
            hints.last_sequence = event.sequence
            if event.added:
                self._add(backend_id, hints, event.prefix, Hint(now, 1.0, hints.gaps))
            else:
                self._remove(backend_id, hints, event.prefix)

    def sent(self, backend_id: str, prefixes: Iterable[str], now: float) -> None:
        """Notes that a prompt with these prefixes was sent.

        :param backend_id: instance.
        :param prefixes: digests, shortest first.
        :param now: monotonic seconds.
        """
        hints = self._hints_by_backend.setdefault(backend_id, _BackendHints())
        for prefix in prefixes:
            self._add(backend_id, hints, prefix, Hint(now, SENT_WORTH, hints.gaps))

    def forget(self, backend_id: str) -> None:
        """Drops what is known of a backend server, whose cache is gone.

        :param backend_id: instance.
        """
        hints = self._hints_by_backend.pop(backend_id, None)
        for prefix in hints.hints_by_prefix if hints else ():
            self._unlink(prefix, backend_id)

    def worth(self, backend_id: str, prefix: str, now: float) -> float:
        """Returns how far to trust that the prefix is cached, 0 to 1.

        :param backend_id: instance.
        :param prefix: digest.
        :param now: monotonic seconds.
        """
        hints = self._hints_by_backend.get(backend_id)
        hint = hints.hints_by_prefix.get(prefix) if hints else None
        if hints is None or hint is None:
            return 0
        aged = hint.worth * math.exp((hint.at - now) / HINT_LIFE_S)
        return aged * GAP_WORTH ** (hints.gaps - hint.gaps)

    def cached_blocks(self, backend_id: str, prefixes: Sequence[str], now: float) -> float:
        """Returns the expected number of leading blocks that are cached.

        :param backend_id: instance.
        :param prefixes: digests, shortest first.
        :param now: monotonic seconds.
        """
        count, worth = self.cached_prefix(backend_id, prefixes, now)
        return count * worth

    def cached_prefix(
        self, backend_id: str, prefixes: Sequence[str], now: float
    ) -> tuple[int, float]:
        """Returns how many prefixes the longest cached one includes, and how far to trust it.

        :param backend_id: instance.
        :param prefixes: digests, shortest first.
        :param now: monotonic seconds.
        """
        hints = self._hints_by_backend.get(backend_id)
        known = hints.hints_by_prefix if hints else {}
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in known:
                return count, self.worth(backend_id, prefixes[count - 1], now)
        return 0, 0

    def holders(self, prefixes: Sequence[str]) -> Iterator[str]:
        """Lists backend servers with a hint, those of the longest prefix first.

        :param prefixes: digests, shortest first.
        """
        seen: set[str] = set()
        for prefix in reversed(prefixes):
            for backend_id in reversed(self._backends_by_prefix.get(prefix, {})):
                if backend_id not in seen:
                    seen.add(backend_id)
                    yield backend_id

    def _limit(self) -> int:
        return max(MIN_HINTS_PER_BACKEND, MAX_HINTS // len(self._hints_by_backend))

    def _add(self, backend_id: str, hints: _BackendHints, prefix: str, hint: Hint) -> None:
        hints.hints_by_prefix[prefix] = hint
        hints.hints_by_prefix.move_to_end(prefix)
        self._backends_by_prefix.setdefault(prefix, {})[backend_id] = None
        while len(hints.hints_by_prefix) > self._limit():
            oldest, _ = hints.hints_by_prefix.popitem(last=False)
            self._unlink(oldest, backend_id)

    def _remove(self, backend_id: str, hints: _BackendHints, prefix: str) -> None:
        if hints.hints_by_prefix.pop(prefix, None) is not None:
            self._unlink(prefix, backend_id)

    def _unlink(self, prefix: str, backend_id: str) -> None:
        backends = self._backends_by_prefix.get(prefix, {})
        backends.pop(backend_id, None)
        if not backends:
            self._backends_by_prefix.pop(prefix, None)
