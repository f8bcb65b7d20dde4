"""Root of the exception tree."""


class GeraniumrailError(Exception):
    """A failure with named fields; the message is built from the type's template."""

    type_name = 'internal_error'
    status = 500
    template = 'internal error'

    def __init__(self, **fields: object) -> None:
        """Builds the message.

        :param fields: values for the template; also sent to the caller as JSON.
        """
        self.fields = fields
        super().__init__(self.template.format(**fields))

    def to_body(self) -> dict[str, object]:
        """Returns the JSON body sent to callers and operators."""
        shown = {name: _plain(field) for name, field in self.fields.items()}
        return {'error': {'type': self.type_name, 'message': str(self), **shown}}


def _plain(field: object) -> object:
    if field is None or isinstance(field, str | int | float | bool):
        return field
    return str(field)
