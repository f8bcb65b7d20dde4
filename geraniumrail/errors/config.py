"""Failures of the daemon's YAML settings file."""

from geraniumrail.errors.base import GeraniumrailError


class ConfigError(GeraniumrailError):
    """The settings file is refused; names file, line and key."""

    type_name = 'config_refused'
    status = 400
    template = '{file}:{line}: {key}: {reason}'


class MissingPackageError(ConfigError):
    """A chosen feature needs an optional package."""

    type_name = 'package_missing'
    template = '{key}: {chosen} needs the package {package}, which is not installed'
