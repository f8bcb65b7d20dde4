"""Limits on what a caller may send."""

import dataclasses

from geraniumrail.config.section import Section

KEYS = ('max_body_bytes', 'max_header_bytes', 'header_timeout_s', 'body_timeout_s')
_MAX_BODY_BYTES = 67_108_864
_MAX_HEADER_BYTES = 1_048_576
_MAX_TIMEOUT_S = 3600


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitsConfig:
    """Limits of this daemon; of `max_body_bytes` here and in the settings the lower holds."""

    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 16_384
    header_timeout_s: float = 10
    body_timeout_s: float = 30

    @classmethod
    def from_config(cls, section: Section | None) -> 'LimitsConfig':
        """Reads the section.

        :param section: the section, if there is one.
        :raises ConfigError: if a value is refused.
        """
        if section is None:
            return cls()
        body, header = cls.max_body_bytes, cls.max_header_bytes
        return cls(
            max_body_bytes=section.whole('max_body_bytes', 1024, _MAX_BODY_BYTES, body),
            max_header_bytes=section.whole('max_header_bytes', 1024, _MAX_HEADER_BYTES, header),
            header_timeout_s=_timeout(section, 'header_timeout_s', cls.header_timeout_s),
            body_timeout_s=_timeout(section, 'body_timeout_s', cls.body_timeout_s),
        )


def _timeout(section: Section, key: str, default: float) -> float:
    return section.number(key, 0.1, _MAX_TIMEOUT_S, default)
