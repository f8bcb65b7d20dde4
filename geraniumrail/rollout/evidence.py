"""What a sequential test has found so far."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Evidence:
    """Strongest evidence against the new version; compare `log_e` with log(1 / alpha)."""

    signal: str  # error_rate | first_token | between_tokens
    route: str  # '' for all routes together
    log_e: float

    def __str__(self) -> str:
        """Returns the form used in log lines and recorded ends."""
        return f'{self.signal} route={self.route or "all"} log_e={self.log_e:.2f}'
