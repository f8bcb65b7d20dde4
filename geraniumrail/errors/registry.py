"""Turns a failure into plain fields and back, for the log and the links."""

from geraniumrail.errors import backend, config, consensus, link, request, settings, state
from geraniumrail.errors.base import GeraniumrailError

_FAMILIES = (backend, config, consensus, link, request, settings, state)


def _all_types(cls: type[GeraniumrailError]) -> list[type[GeraniumrailError]]:
    below = (_all_types(sub) for sub in cls.__subclasses__())
    return [cls, *(found for types in below for found in types)]


def types_by_name() -> dict[str, type[GeraniumrailError]]:
    """Returns the failure types of the imported families by their stable name."""
    found = _all_types(GeraniumrailError) if _FAMILIES else ()
    return {kind.type_name: kind for kind in reversed(list(found))}


def rebuild(type_name: str, fields: dict[str, object]) -> GeraniumrailError:
    """Builds the failure that was sent as plain fields.

    :param type_name: stable name of the type.
    :param fields: its fields.
    """
    kind = types_by_name().get(type_name, GeraniumrailError)
    return kind(**fields)
