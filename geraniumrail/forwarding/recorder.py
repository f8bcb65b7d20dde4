"""Counters and histograms of forwarded requests."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:  # loaded after the entry serves, because it takes long
    from geraniumrail.metrics.instruments import Instruments

NO_ROUTE = 'none'
OK = 'ok'
CALLER_GONE = 'caller_gone'
CACHED = 'cached'
READ = 'read'


class Recorder:
    """Records nothing until `instruments` is set."""

    def __init__(self) -> None:
        """Starts without instruments."""
        self.instruments: Instruments | None = None

    def ended(self, route: str, organisation: str, outcome: str, seconds: float) -> None:
        """Counts a request that has its final answer.

        :param route: name of the route; empty if none matched.
        :param organisation: whose request it is; may be empty.
        :param outcome: `ok`, `caller_gone`, or the type of the failure.
        :param seconds: since it arrived.
        """
        if self.instruments is not None:
            self.instruments.requests.add(1, route or NO_ROUTE, organisation, outcome)
            self.instruments.answer.record(seconds, route or NO_ROUTE, outcome)

    def first_event(self, service: str, route: str, seconds: float) -> None:
        """Records the time to the first event of a stream, or to a whole answer.

        :param service: name of the service.
        :param route: name of the route.
        :param seconds: since the attempt was sent.
        """
        if self.instruments is not None:
            self.instruments.first_token.record(seconds, service, route)

    def prompt_sent(self, service: str, tokens: float, cached_tokens: float) -> None:
        """Counts the tokens of a prompt by what its engine is expected to do with them.

        :param service: name of the service.
        :param tokens: of the prompt.
        :param cached_tokens: those that are expected to be cached.
        """
        if self.instruments is not None:
            self.instruments.prompt_tokens.add(round(cached_tokens), service, CACHED)
            self.instruments.prompt_tokens.add(round(tokens - cached_tokens), service, READ)

    def attempt_failed(self, service: str, reason: str) -> None:
        """Counts a failed attempt.

        :param service: name of the service.
        :param reason: type of the failure.
        """
        if self.instruments is not None:
            self.instruments.retries.add(1, service, reason)

    def retry_denied(self, service: str) -> None:
        """Counts a request that got no further attempt because the budget was used up.

        :param service: name of the service.
        """
        if self.instruments is not None:
            self.instruments.retries_denied.add(1, service)
