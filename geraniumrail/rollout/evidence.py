"""Result of the sequential test so far."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Evidence:
    """Strongest evidence against the new version; `log_e` is compared with log(1 / alpha)."""

    signal: str  # error_rate | first_token | between_tokens
    route: str  # '' for all routes together
    log_e: float  # log of the e-value

    def __str__(self) -> str:
        """Returns the text for log events and for the recorded end of a move."""
        return f'{self.signal} route={self.route or "all"} log_e={self.log_e:.2f}'
