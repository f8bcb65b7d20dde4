"""Requests that are not sent to backend servers: those with some prompt parts or fingerprint."""

from collections.abc import Set

from geraniumrail.core.codec import record

# A request may reach backend servers in so many retries after it was found to crash them.
MAX_FAILED_TRIALS = 3


@record
class Quarantine:
    """Requests of a service that have all of these parts crash their backend servers."""

    service: str
    parts: tuple[str, ...]  # sorted; prompt parts, and the fingerprint of one request
    since: float  # time of day of the last crash, seconds since 1970
    until: float  # time of day from which one request at a time is sent as a trial
    failures: int = 1  # the first finding and the failed trials

    @property
    def is_final(self) -> bool:
        """Whether it has no more trials; it lasts until an operator releases it."""
        return self.failures > MAX_FAILED_TRIALS

    @property
    def label(self) -> str:
        """Key of the quarantine."""
        return quarantine_label(self.service, self.parts)

    def covers(self, service: str, parts: Set[str]) -> bool:
        """Returns whether a request is held back.

        :param service: the service that the request is for.
        :param parts: shared parts of its prompt, and its fingerprint.
        """
        return service == self.service and parts.issuperset(self.parts)


def quarantine_label(service: str, parts: tuple[str, ...]) -> str:
    """Returns the key of a quarantine.

    :param service: name of the service.
    :param parts: sorted prompt parts.
    """
    return '/'.join((service, *parts))
