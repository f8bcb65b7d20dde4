"""A request of the load model."""

import dataclasses


@dataclasses.dataclass(kw_only=True, eq=False)
class Job:
    """Fixed fields first, then what was measured, in seconds of virtual time."""

    job_id: str
    organisation: str
    traffic_class: str
    prefixes: tuple[str, ...]
    prompt_tokens: int
    answer_tokens: int
    arrived_at: float
    part_blocks: tuple[int, ...] = ()  # blocks of each part, if the prompt has parts
    engine: str = ''
    bound_s: float | None = None
    sent_at: float | None = None
    first_token_at: float | None = None
    finished_at: float | None = None
    cached_tokens: int = 0
    shed: bool = False

    @property
    def tokens(self) -> int:
        """Prompt and answer tokens."""
        return self.prompt_tokens + self.answer_tokens
