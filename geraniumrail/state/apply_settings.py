"""Commands on the settings tree: one winner for each version, one result for each change id."""

import itertools

from geraniumrail.core.refused import Refused
from geraniumrail.errors.settings import SettingsError
from geraniumrail.errors.state import FixedSettingError, StateError
from geraniumrail.settings.change import Change, apply_change
from geraniumrail.state import commands, results
from geraniumrail.state.apply import apply
from geraniumrail.state.tables import ChangeEntry, Tables

MAX_CHANGES = 10_000  # nine days at 1,100 changes a day
MOVED_KEY = 'version'


@apply.register
def _change(command: commands.ChangeSettings, tables: Tables) -> object:
    earlier = tables.changes_by_id.get(command.change_id)
    if earlier is not None:
        return earlier.changed or earlier.refused
    try:
        answer: results.Changed | Refused = change_tree(command, tables)
    except (SettingsError, StateError) as error:
        answer = Refused.from_error(error)
    remember(command, tables, answer)
    return answer


def change_tree(command: commands.ChangeSettings, tables: Tables) -> results.Changed:
    """Changes one node.

    :param command: the change.
    :param tables: the live tables.
    :raises SettingsError: if the change is refused.
    :raises FixedSettingError: if it would change a version by hand.
    """
    _check_version_unmoved(command, tables)
    change = Change(
        change_id=command.change_id,
        path=command.path,
        expected_version=command.expected_version,
        values=command.values,
        operator=command.operator,
    )
    tables.tree = apply_change(tables.tree, change)
    node = tables.tree.nodes_by_path[command.path]
    tables.revisions_by_path[command.path] = tables.tree.revision
    return results.Changed(
        change_id=command.change_id,
        path=command.path,
        version=node.version,
        revision=tables.tree.revision,
    )


def _check_version_unmoved(command: commands.ChangeSettings, tables: Tables) -> None:
    node = tables.tree.nodes_by_path.get(command.path)
    if MOVED_KEY not in command.values or node is None or MOVED_KEY not in node.values:
        return
    if command.values[MOVED_KEY] != node.values[MOVED_KEY] and command.operator != 'move':
        raise FixedSettingError(node=command.path, key=MOVED_KEY)


def remember(
    command: commands.ChangeSettings,
    tables: Tables,
    answer: results.Changed | Refused,
) -> None:
    """Keeps the answer for resends, up to a limit.

    :param command: the change.
    :param tables: the live tables.
    :param answer: its result.
    """
    tables.changes_by_id[command.change_id] = ChangeEntry(
        change_id=command.change_id,
        path=command.path,
        operator=command.operator,
        at=command.at,
        values=command.values,
        changed=answer if isinstance(answer, results.Changed) else None,
        refused=answer if isinstance(answer, Refused) else None,
    )
    surplus = max(0, len(tables.changes_by_id) - MAX_CHANGES)
    for change_id in list(itertools.islice(tables.changes_by_id, surplus)):
        tables.changes_by_id.pop(change_id)
