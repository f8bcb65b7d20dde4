"""What a backend server is told and tells, apart from the HTTP that carries it."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.forwarding.inbound import Headers, Inbound


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sending:
    """One attempt of a request."""

    backend: Backend
    organisation: str  # empty on an anonymous route
    left_s: float  # time that the backend server may take
    priority: int | None = None  # 0 is the most urgent
    last_event_id: str = ''  # the stream goes on after this event


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """What the head of an answer says."""

    request_id: str = ''
    did_not_run: bool = False  # the backend server promises that it did not run the request
    wrong_instance: bool = False  # another backend server has the address now
    sealed: bool = False  # the answer bears the backend server's signature
    load: LoadReport | None = None
    idle_s: float | None = None  # how long the connection may stay idle
    retry_after_s: float | None = None
    leaving: bool = False  # it ends soon and wants no new work
    limit_per_s: float | None = None  # requests that it takes from all entries together
    cold_s: float | None = None  # for which it is still cold


class Dialect(Protocol):
    """Implemented where the protocol of the backend servers is known."""

    def sent_headers(self, inbound: Inbound, sending: Sending) -> Headers:
        """Returns all headers of a request to a backend server.

        :param inbound: the caller's request.
        :param sending: the attempt.
        """

    def read_head(self, status: int, headers: Mapping[str, str]) -> Head:
        """Decodes the head of an answer.

        :param status: HTTP status.
        :param headers: by name, in any case.
        """


class NoDialect:
    """For an entry that forwards nothing."""

    def sent_headers(self, inbound: Inbound, sending: Sending) -> Headers:
        """Returns the caller's headers.

        :param inbound: the caller's request.
        :param sending: the attempt.
        """
        return inbound.headers

    def read_head(self, status: int, headers: Mapping[str, str]) -> Head:
        """Returns a head that says nothing.

        :param status: HTTP status.
        :param headers: by name, in any case.
        """
        return Head()
