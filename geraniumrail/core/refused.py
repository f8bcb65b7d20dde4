"""A failure as a record, for the log and the links."""

from geraniumrail.core.codec import record
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.registry import rebuild


@record
class Refused:
    """Names the type of the failure and its fields."""

    type_name: str
    fields: dict[str, bool | int | float | str | None]

    @classmethod
    def from_error(cls, error: GeraniumrailError) -> 'Refused':
        """Describes a failure.

        :param error: the failure.
        """
        shown = error.to_body()['error']
        fields = {name: field for name, field in shown.items() if name not in {'type', 'message'}}
        return cls(type_name=error.type_name, fields=fields)

    def to_error(self) -> GeraniumrailError:
        """Builds the failure again."""
        return rebuild(self.type_name, self.fields)
