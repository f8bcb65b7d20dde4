"""Failures of the settings tree; each names its node and key."""

from geraniumrail.errors.base import GeraniumrailError


class SettingsError(GeraniumrailError):
    """A refused change; nothing was changed."""

    type_name = 'settings_refused'
    status = 400


class UnknownSettingError(SettingsError):
    """The key is not in the schema."""

    type_name = 'unknown_setting'
    template = 'node {node}: unknown key {key}'


class WrongSettingTypeError(SettingsError):
    """The value has another type than the schema asks for."""

    type_name = 'wrong_setting_type'
    template = 'node {node}: {key} must be {expected}, got {found}'


class SettingRangeError(SettingsError):
    """The value is out of range."""

    type_name = 'setting_out_of_range'
    template = 'node {node}: {key} must be {expected}, got {found}'


class SettingCombinationError(SettingsError):
    """Two values can't stand together."""

    type_name = 'setting_combination'
    template = 'node {node}: {key} {reason}'


class BadPathError(SettingsError):
    """The node path is malformed."""

    type_name = 'bad_settings_path'
    template = 'node {node}: {reason}'


class VersionConflictError(SettingsError):
    """Another change won at the expected version."""

    type_name = 'version_conflict'
    status = 409
    template = (
        'node {node} is at version {version} (change {winner} by {operator}), '
        'not at the expected version {expected}'
    )
