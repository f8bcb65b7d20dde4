"""Encodes registered frozen dataclasses as msgpack, for the log and the links."""

import dataclasses
from typing import Any, TypeVar

import msgspec

Record = TypeVar('Record', bound=type)

_classes_by_name: dict[str, type] = {}
_envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_encoder = msgspec.msgpack.Encoder()
_decoders_by_name: dict[str, msgspec.msgpack.Decoder[Any]] = {}


def record(cls: Record) -> Record:
    """Class decorator: makes a frozen dataclass that `encode` and `decode` accept."""
    frozen = dataclasses.dataclass(frozen=True, kw_only=True)(cls)
    if cls.__name__ in _classes_by_name:
        raise DuplicateRecordError(cls.__name__)
    _classes_by_name[cls.__name__] = frozen
    return frozen


class DuplicateRecordError(TypeError):
    """Two record classes have the same name."""


class UnknownRecordError(ValueError):
    """The bytes name a record class that this version does not have."""


def encode(item: object) -> bytes:
    """Encodes one record.

    :param item: an instance of a class decorated with `record`.
    """
    return _encoder.encode((type(item).__name__, item))


def decode(payload: bytes) -> Any:
    """Decodes one record.

    :param payload: bytes made by `encode`.
    :raises UnknownRecordError: if the class is not known.
    :raises msgspec.DecodeError: if the bytes are malformed.
    """
    name, raw = _envelope.decode(payload)
    decoder = _decoders_by_name.get(name)
    if decoder is None:
        if name not in _classes_by_name:
            raise UnknownRecordError(name)
        decoder = msgspec.msgpack.Decoder(_classes_by_name[name])
        _decoders_by_name[name] = decoder
    return decoder.decode(raw)
