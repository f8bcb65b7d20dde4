"""An address on which the daemon listens."""

import dataclasses

from geraniumrail.config.address import read_address, split_address
from geraniumrail.config.section import Section
from geraniumrail.config.tls import TlsConfig

_TLS_KEYS = ('certificate', 'key', 'authority')
KEYS = ('listen', 'tls')


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListenConfig:
    """Address and TLS files of one server; `listen` is also the address given to others."""

    listen: str
    tls: TlsConfig | None = None

    @property
    def host(self) -> str:
        """Returns the IP address."""
        return split_address(self.listen)[0]

    @property
    def port(self) -> int:
        """Returns the port."""
        return split_address(self.listen)[1]

    @classmethod
    def from_config(cls, section: Section | None) -> 'ListenConfig | None':
        """Reads the section.

        :param section: the section, if there is one.
        :raises ConfigError: if a value is refused.
        """
        if section is None:
            return None
        return cls(
            listen=read_address(section, 'listen'),
            tls=TlsConfig.from_config(section.section('tls', _TLS_KEYS)),
        )
