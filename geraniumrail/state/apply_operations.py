"""Commands of operations: drains and order numbers."""

from geraniumrail.state import commands, results
from geraniumrail.state.apply import apply
from geraniumrail.state.tables import Tables


@apply.register
def _drain(command: commands.SetDrain, tables: Tables) -> object:
    if command.draining:
        tables.drains_by_target[command.target] = command.operator
    else:
        tables.drains_by_target.pop(command.target, None)
    return results.DrainSet(target=command.target, draining=command.draining)


@apply.register
def _order(command: commands.IssueOrder, tables: Tables) -> object:
    tables.last_order += 1
    return results.OrderIssued(number=tables.last_order)
