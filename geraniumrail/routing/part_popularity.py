"""How often prompt parts are asked for, estimated by one entry for all entries."""

import collections
import dataclasses
import math

# Time constant of the counts: long enough for a few requests of a document, and about the time for
# which an engine under load keeps a prefix.
MEMORY_S = 30.0
# About 200 bytes of memory each.
MAX_PARTS = 8192
# Weight of the mean of all parts in the estimate of one, in requests. Below 1: popularity differs
# by more than that of a coin between the parts of one service.
PRIOR_REQUESTS = 0.5
# Until this many requests were seen, a part is expected to be asked for now and then.
INITIAL_COUNT = 0.1
INITIAL_REQUESTS = 5
WINDOW = 300


@dataclasses.dataclass
class Decaying:
    """A sum whose terms lose weight with age."""

    amount: float = 0
    at: float = 0

    def get(self, now: float) -> float:
        """Returns the sum.

        :param now: monotonic seconds.
        """
        return self.amount * math.exp(min(0, self.at - now) / MEMORY_S)

    def add(self, amount: float, now: float) -> None:
        """Adds a term.

        :param amount: the term.
        :param now: monotonic seconds.
        """
        self.amount = self.get(now) + amount
        self.at = max(self.at, now)


@dataclasses.dataclass
class _Repeats:
    """Mean of the count that a part had when it was asked for, over the parts at one depth."""

    mean: float = INITIAL_COUNT
    requests: int = INITIAL_REQUESTS

    def add(self, count: float) -> None:
        self.requests = min(WINDOW, self.requests + 1)
        self.mean += (count - self.mean) / self.requests


class PartPopularity:
    """Counts of recent requests by leading parts.

    The count of a part that is met at random is a mean of squared shares, so a part that this entry
    has not seen is expected to be as popular as parts at the same depth are: with 83 entries,
    most requests for a document are the first ones at their entry.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._counts_by_prefix: collections.OrderedDict[str, Decaying] = collections.OrderedDict()
        self._repeats_by_depth: dict[int, _Repeats] = collections.defaultdict(_Repeats)
        self._requests = Decaying()
        self._began_at: float | None = None

    def observe(self, prefixes: tuple[str, ...], now: float) -> None:
        """Records a request.

        :param prefixes: names of the leading parts that others may share, shortest first.
        :param now: monotonic seconds.
        """
        if self._began_at is None:
            self._began_at = now
        self._requests.add(1, now)
        for depth, prefix in enumerate(prefixes):
            count = self._counts_by_prefix.setdefault(prefix, Decaying())
            self._repeats_by_depth[depth].add(count.get(now))
            count.add(1, now)
            self._counts_by_prefix.move_to_end(prefix)
        while len(self._counts_by_prefix) > MAX_PARTS:
            self._counts_by_prefix.popitem(last=False)

    def window_s(self, now: float) -> float:
        """Returns the seconds that the decaying sums cover.

        :param now: monotonic seconds.
        """
        age_s = 0 if self._began_at is None else now - self._began_at
        return MEMORY_S * max(0.02, 1 - math.exp(-age_s / MEMORY_S))

    def requests_per_s(self, now: float) -> float:
        """Returns the requests per second at this entry.

        :param now: monotonic seconds.
        """
        return self._requests.get(now) / self.window_s(now)

    def per_s(self, prefix: str, depth: int, now: float) -> float:
        """Returns the requests per second with a leading part that are expected at one entry.

        :param prefix: its name.
        :param depth: parts before it.
        :param now: monotonic seconds.
        """
        known = self._counts_by_prefix.get(prefix)
        repeats = self._repeats_by_depth[depth].mean
        if repeats <= 0:
            return 0
        count = 0 if known is None else known.get(now)
        expected = (count + PRIOR_REQUESTS) / (1 + PRIOR_REQUESTS / repeats)
        return expected / self.window_s(now)
