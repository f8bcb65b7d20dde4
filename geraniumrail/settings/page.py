"""Makes docs/settings.md: `scripts/list_settings > docs/settings.md`."""

import sys

from geraniumrail.settings.level import EVERYWHERE
from geraniumrail.settings.schema import SCHEMA
from geraniumrail.settings.setting import Setting

_HEAD = """# Settings

Made from `geraniumrail/settings/schema.py` by `scripts/list_settings > docs/settings.md`.

These are the keys of the settings tree, which operators change while the daemons run, with
`geraniumrail set` (see [operators.md](operators.md)). The addresses, roles and API keys of a daemon
are in its own YAML file instead.

A node of the tree has a path and holds only what differs there. The values for a request are found
by reading these nodes in order; the last node that sets a key wins, and a key that no node sets has
its default:

1. `/`: the root
2. `/*/service`: a service, for all organisations
3. `/*/service/route`: a route of that service, for all organisations
4. `/organisation`
5. `/organisation/service`
6. `/organisation/service/route`

The route of a request to a plain service is the first part of its path, such as `bookings` in
`/s/repair-desk/bookings/7`.

| key | values | default | may be set at | meaning |
|---|---|---|---|---|
"""
_TAIL = """
A change is refused if these effective values contradict each other anywhere below the changed node:

* `first_token_timeout_ms` below `first_token_ms`, or `between_tokens_timeout_ms` below
  `between_tokens_ms`
* `deadline_ms` below `first_token_timeout_ms` or `between_tokens_timeout_ms`
* `repeatable: false` or an `outcome_path` together with `kind: engine`
* `traffic_class: review` with a `deadline_ms` that ends before `review_completion_s`

Once a node sets `version`, only version moves change it.
"""


def settings_page() -> str:
    """Returns the text of docs/settings.md."""
    return _HEAD + ''.join(_row(setting) for setting in SCHEMA) + _TAIL


def _row(setting: Setting) -> str:
    levels = 'everywhere'
    if setting.levels != EVERYWHERE:
        levels = ', '.join(
            level if level == 'the root' else f'`{level}`' for level in setting.levels
        )
    cells = (
        f'`{setting.key}`',
        setting.expected.replace('|', r'\|'),
        f'`{_shown(setting)}`',
        levels,
        setting.about,
    )
    return f'| {" | ".join(cells)} |\n'


def _shown(setting: Setting) -> str:
    if setting.value_type is bool:
        return str(setting.default).lower()
    if setting.value_type is str:
        return str(setting.default) or "''"
    return f'{setting.default:.10g}'


if __name__ == '__main__':
    sys.stdout.write(settings_page())
