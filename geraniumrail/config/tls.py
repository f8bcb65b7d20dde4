"""Files of a TLS endpoint."""

import dataclasses
import pathlib

from geraniumrail.config.section import Section


@dataclasses.dataclass(frozen=True, kw_only=True)
class TlsConfig:
    """Paths relative to the working directory; `authority` asks clients for a certificate."""

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path | None = None

    @classmethod
    def from_config(cls, section: Section | None) -> 'TlsConfig | None':
        """Reads the section.

        :param section: the section; None for plain text.
        :raises ConfigError: if a file is missing.
        """
        if section is None:
            return None
        has_authority = 'authority' in section.nodes_by_key
        return cls(
            certificate=pathlib.Path(section.text('certificate')),
            key=pathlib.Path(section.text('key')),
            authority=pathlib.Path(section.text('authority')) if has_authority else None,
        )
