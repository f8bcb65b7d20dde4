"""Addresses of the form ip:port."""

import ipaddress
import re

from geraniumrail.config.section import Section

_MAX_PORT = 65535
_PORT = re.compile('[1-9][0-9]{0,4}')


def split_address(address: str) -> tuple[str, int]:
    """Splits `127.0.0.1:8001` or `[::1]:8001`.

    :param address: the text.
    :raises ValueError: if it is not the address of one host with a port.
    """
    host, _, port = address.rpartition(':')
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise ValueError('must be ip:port with a port from 1 to 65535')
    is_bracketed = host.startswith('[') and host.endswith(']')
    bare = host[1:-1] if is_bracketed else host
    parsed = ipaddress.ip_address(bare)
    if is_bracketed != (parsed.version == 6):
        raise ValueError('must be ip:port, with brackets around an IPv6 address')
    if parsed.is_unspecified or parsed.is_multicast:
        # The address is also the one that others are told to connect to.
        raise ValueError('must be the address of one host')
    return bare, int(port)


def read_address(section: Section, key: str) -> str:
    """Reads an address of a section.

    :param section: the section.
    :param key: its key.
    :raises ConfigError: if it is missing or malformed.
    """
    return check_address(section, key, section.text(key))


def check_address(section: Section, key: str, address: str) -> str:
    """Returns the address if it is well formed.

    :param section: the section, for errors.
    :param key: the key, for errors.
    :param address: the text.
    :raises ConfigError: if it is malformed.
    """
    try:
        split_address(address)
    except ValueError as failure:
        raise section.error(key, f'{address}: {failure}') from failure
    return address
