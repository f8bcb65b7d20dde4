"""Speed and size of a fake engine."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineShape:
    """A decode step takes `step_s + sequence_s * batch`, longer while a prompt is read."""

    slots: int = 16
    step_s: float = 0.012
    sequence_s: float = 0.002
    prefill_factor: float = 1.4
    prefill_tokens_per_s: float = 8000
    cache_blocks: int = 1500
    block_tokens: int = 64
    kv_tokens: int = 60_000

    def scaled(self, speed: float) -> 'EngineShape':
        """Returns the shape of an engine that works faster or slower.

        :param speed: 1 for the same speed.
        """
        return dataclasses.replace(
            self,
            step_s=self.step_s / speed,
            sequence_s=self.sequence_s / speed,
            prefill_tokens_per_s=self.prefill_tokens_per_s * speed,
        )

    def request_rate(self, prefill_tokens: float, answer_tokens: float) -> float:
        """Returns the requests per second at which all slots are in use.

        :param prefill_tokens: mean prompt tokens that are not cached.
        :param answer_tokens: mean answer tokens.
        """
        full_step = self.step_s + self.sequence_s * self.slots
        prefill_s = prefill_tokens / self.prefill_tokens_per_s
        # With p the share of time spent on prompts, p = rate * prefill_s and the slots are full
        # when rate * (prefill_s + answer_tokens * full_step * (1 + 0.4 p)) = slots; p is small.
        busy_s = prefill_s + answer_tokens * full_step
        return self.slots / (
            busy_s * (1 + (self.prefill_factor - 1) * prefill_s * self.slots / busy_s)
        )
