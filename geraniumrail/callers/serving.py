"""What the HTTP front needs from the entry."""

from collections.abc import AsyncIterator
from typing import Protocol

from geraniumrail.backends.chunk import Chunk
from geraniumrail.core.backend import Backend
from geraniumrail.entry.completion_call import CompletionCall
from geraniumrail.entry.plain_call import PlainAnswer, PlainCall


class Serving(Protocol):
    """Implemented by `entry.entry.Entry`."""

    def require_lease(self) -> None:
        """Checks that the entry may serve.

        :raises NotRunError: without a settings lease.
        """

    def entry_addresses(self) -> tuple[list[str], float]:
        """Returns the addresses for callers and how long to keep them, in seconds."""

    def models(self) -> list[str]:
        """Returns the announced models."""

    def service_of(self, model: str) -> str:
        """Returns the service that serves a model.

        :param model: name of the model.
        :raises UnknownModelError: if there is none.
        """

    def complete(self, call: CompletionCall) -> AsyncIterator[Chunk]:
        """Yields the answer to a completion.

        :param call: the request.
        """

    async def call_service(self, call: PlainCall) -> PlainAnswer:
        """Sends a request to a plain service.

        :param call: the request.
        """

    def announce(self, backend: Backend) -> float:
        """Takes an announcement and returns after how many seconds to renew it.

        :param backend: the announcement.
        """

    def ready(self) -> bool:
        """Returns whether callers should be sent here."""

    def max_body_bytes(self) -> int:
        """Returns the limit of a request body."""
