"""Prefill rate of the engines, learned from the times to the first event."""

import collections

INITIAL_TOKENS_PER_S = 8000.0
# The time to the first event of a shorter prompt says little about the rate.
MIN_SAMPLE_TOKENS = 1000
# Of both kinds of engines, and long enough that a burst does not pass for a slow engine.
MAX_SAMPLES = 128
# Before so many samples the rate is not known well enough to plan with it.
MIN_SAMPLES = 20
# Most samples are too low, since they include the wait behind other prompts; a few are far too
# high, since another entry had the prompt read before. Counted by tokens, so that long prompts,
# whose fixed delays matter little, decide.
QUANTILE = 0.75


class PrefillRate:
    """A high quantile of the recent samples."""

    def __init__(self, initial_tokens_per_s: float = INITIAL_TOKENS_PER_S) -> None:
        """Starts without samples.

        :param initial_tokens_per_s: rate until there are samples.
        """
        self.tokens_per_s = initial_tokens_per_s
        self._samples: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    @property
    def is_known(self) -> bool:
        """Whether the rate was observed rather than assumed."""
        return len(self._samples) >= MIN_SAMPLES

    def observe(self, tokens: float, seconds: float) -> None:
        """Records one prompt.

        :param tokens: prompt tokens that were probably read.
        :param seconds: from sending the request to the first event.
        """
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        self._samples.append((tokens / seconds, tokens))
        left = (1 - QUANTILE) * sum(size for _, size in self._samples)
        for rate, size in sorted(self._samples, reverse=True):
            left -= size
            if left <= 0:
                self.tokens_per_s = rate
                return
