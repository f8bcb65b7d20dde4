"""A stream on an instance under notice."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stream:
    """What recovery needs to know about one stream."""

    stream: str
    kv_tokens: int  # prompt and answer so far
    remaining_tokens: float  # expected
    tokens_per_s: float
    prefix_tokens_by_engine: tuple[tuple[str, int], ...] = ()  # cached elsewhere

    @property
    def best_engine(self) -> str:
        """Returns the engine with most of the prefix, or '' if none has any."""
        engines = [(-tokens, engine) for engine, tokens in self.prefix_tokens_by_engine if tokens]
        return min(engines)[1] if engines else ''

    @property
    def recomputed_tokens(self) -> int:
        """Returns the tokens to compute again if it resumes without its KV cache."""
        cached = max((tokens for _, tokens in self.prefix_tokens_by_engine), default=0)
        return max(0, self.kv_tokens - cached)
