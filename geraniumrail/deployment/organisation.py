"""An organisation of a configuration with its API keys and limit."""

from geraniumrail.core.codec import record


@record
class Organisation:
    """One organisation; the limit holds over all entries together."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None  # goes before the priority of the route
    in_tokens: bool = False  # what the limit counts: tokens, or requests
    plain_tokens: float = 1  # counted for a request that names no tokens
    rate_per_s: float = 0  # 0: no limit
    burst: float = 0
    allowed_regions: tuple[str, ...] = ()  # where its requests may be handled; empty: anywhere

    def cost(self, tokens: float | None) -> float:
        """Returns what a request counts towards the limit.

        :param tokens: prompt and output tokens that the request names, or None.
        """
        if not self.in_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens
