"""A stream on an instance under reclaim notice."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stream:
    """Fields of a stream that recovery uses."""

    stream: str
    kv_tokens: int  # prompt and answer so far
    remaining_tokens: float  # expected
    tokens_per_s: float
    prefix_tokens_by_engine: tuple[tuple[str, int], ...] = ()  # cached at other engines

    @property
    def best_engine(self) -> str:
        """Returns the engine that caches most of the prefix, or '' if none does."""
        engines = [(-tokens, engine) for engine, tokens in self.prefix_tokens_by_engine if tokens]
        return min(engines)[1] if engines else ''

    @property
    def recomputed_tokens(self) -> int:
        """Returns the tokens to compute again if the stream resumes without its KV cache."""
        cached = max((tokens for _, tokens in self.prefix_tokens_by_engine), default=0)
        return max(0, self.kv_tokens - cached)
