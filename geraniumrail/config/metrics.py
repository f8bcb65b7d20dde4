"""Where metrics go."""

import dataclasses

from geraniumrail.config.address import check_address, read_address
from geraniumrail.config.section import Section

KEYS = ('exporter', 'listen', 'endpoint')
_EXPORTERS = ('none', 'prometheus', 'otlp')
_KEYS_BY_EXPORTER = {'none': '', 'prometheus': 'listen', 'otlp': 'endpoint'}


@dataclasses.dataclass(frozen=True, kw_only=True)
class MetricsConfig:
    """`listen` is set for prometheus, `endpoint` for otlp."""

    exporter: str = 'none'
    listen: str = ''
    endpoint: str = ''

    @classmethod
    def from_config(cls, section: Section | None) -> 'MetricsConfig':
        """Reads the section.

        :param section: the section, if there is one.
        :raises ConfigError: if a value is refused or does not fit the exporter.
        """
        if section is None:
            return cls()
        exporter = section.choice('exporter', _EXPORTERS)
        needed = _KEYS_BY_EXPORTER[exporter]
        for key in ('listen', 'endpoint'):
            if key in section.nodes_by_key and key != needed:
                raise section.error(key, f'has no meaning with exporter {exporter}')
        return cls(
            exporter=exporter,
            listen=read_address(section, 'listen') if needed == 'listen' else '',
            endpoint=_read_endpoint(section) if needed == 'endpoint' else '',
        )


def _read_endpoint(section: Section) -> str:
    endpoint = section.text('endpoint')
    scheme, separator, rest = endpoint.partition('://')
    if not separator or scheme not in {'http', 'https'}:
        raise section.error('endpoint', f'must be http(s)://ip:port, got {endpoint}')
    check_address(section, 'endpoint', rest.partition('/')[0])
    return endpoint
