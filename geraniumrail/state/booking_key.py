"""Identity of a request that may not be repeated."""

from geraniumrail.core.codec import record


@record
class BookingKey:
    """An idempotency key within one organisation and service."""

    organisation: str
    service: str
    key: str

    def label(self) -> str:
        """Returns the key as one string, for logs and tables."""
        return f'{self.organisation}/{self.service}/{self.key}'
