"""Which prefixes a backend server probably has in its cache."""

import collections
import dataclasses
import math
from collections.abc import Iterable, Iterator, Sequence

from geraniumrail.core.cache_event import CacheEvent

# About 300 bytes of memory each; divided evenly among the backend servers with hints.
MAX_HINTS = 20_000
MIN_HINTS_PER_BACKEND = 64
HINT_DECAY_S = 300.0  # time constant
# A sent prompt is usually cached, but its eviction may not have been announced yet.
SENT_CONFIDENCE = 0.9
# Prefixes that are looked up for one prompt, so that a prompt of many parts costs little more.
MAX_EVIDENCE = 8
# A gap in the sequence of events may hide the eviction of any prefix added before it.
GAP_CONFIDENCE_FACTOR = 0.5


@dataclasses.dataclass(frozen=True)
class Hint:
    """Evidence that a prefix is cached."""

    at: float
    confidence: float  # 0 to 1
    gaps: int  # gaps in the backend server's events until then


class _BackendHints:
    def __init__(self) -> None:
        self.hints_by_prefix: collections.OrderedDict[str, Hint] = collections.OrderedDict()
        self.last_sequence: int | None = None
        self.gaps = 0


class PrefixHints:
    """Hints from cache events and sent prompts, limited in number per backend server."""

    def __init__(self) -> None:
        """Starts without hints."""
        self._hints_by_backend: dict[str, _BackendHints] = {}
        self._backends_by_prefix: dict[str, dict[str, None]] = {}

    def observe(self, backend_id: str, events: Iterable[CacheEvent], now: float) -> None:
        """Applies cache events; a gap in the sequence lowers the confidence of older hints.

        :param backend_id: instance.
        :param events: events as announced; earlier ones are ignored.
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

    def record_sent(self, backend_id: str, prefixes: Iterable[str], now: float) -> None:
        """Records that a prompt with these prefixes was sent.

        :param backend_id: instance.
        :param prefixes: digests, shortest first.
        :param now: monotonic seconds.
        """
        hints = self._hints_by_backend.setdefault(backend_id, _BackendHints())
        for prefix in prefixes:
            self._add(backend_id, hints, prefix, Hint(now, SENT_CONFIDENCE, hints.gaps))

    def remove(self, backend_id: str) -> None:
        """Removes all hints of a backend server, whose cache is lost.

        :param backend_id: instance.
        """
        hints = self._hints_by_backend.pop(backend_id, None)
        for prefix in hints.hints_by_prefix if hints else ():
            self._unlink(prefix, backend_id)

    def confidence(self, backend_id: str, prefix: str, now: float) -> float:
        """Returns the probability that the prefix is cached.

        :param backend_id: instance.
        :param prefix: digest.
        :param now: monotonic seconds.
        """
        hints = self._hints_by_backend.get(backend_id)
        hint = hints.hints_by_prefix.get(prefix) if hints else None
        if hints is None or hint is None:
            return 0
        aged = hint.confidence * math.exp((hint.at - now) / HINT_DECAY_S)
        return aged * GAP_CONFIDENCE_FACTOR ** (hints.gaps - hint.gaps)

    def evidence(
        self, backend_id: str, prefixes: Sequence[str], now: float
    ) -> Iterator[tuple[int, float, float]]:
        """Yields (number of prefixes, confidence, age) for the longest prefixes that are known.

        The age is that of a prompt which was sent; it is 0 if a cache event is the evidence, since
        another event tells the eviction.

        :param backend_id: instance.
        :param prefixes: digests, shortest first.
        :param now: monotonic seconds.
        """
        hints = self._hints_by_backend.get(backend_id)
        if hints is None:
            return
        for count in range(len(prefixes), max(0, len(prefixes) - MAX_EVIDENCE), -1):
            hint = hints.hints_by_prefix.get(prefixes[count - 1])
            if hint is not None:
                age_s = now - hint.at if hint.confidence <= SENT_CONFIDENCE else 0
                yield count, self.confidence(backend_id, prefixes[count - 1], now), age_s

    def cached_blocks(self, backend_id: str, prefixes: Sequence[str], now: float) -> float:
        """Returns the expected number of leading blocks that are cached.

        :param backend_id: instance.
        :param prefixes: digests, shortest first.
        :param now: monotonic seconds.
        """
        count, confidence = self.cached_prefix(backend_id, prefixes, now)
        return count * confidence

    def cached_prefix(
        self, backend_id: str, prefixes: Sequence[str], now: float
    ) -> tuple[int, float]:
        """Returns the length of the longest cached prefix, in prefixes, and its confidence.

        :param backend_id: instance.
        :param prefixes: digests, shortest first.
        :param now: monotonic seconds.
        """
        hints = self._hints_by_backend.get(backend_id)
        known = hints.hints_by_prefix if hints else {}
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in known:
                return count, self.confidence(backend_id, prefixes[count - 1], now)
        return 0, 0

    def holders(self, prefixes: Sequence[str]) -> Iterator[str]:
        """Yields backend servers with a hint, those of the longest prefix first.

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
