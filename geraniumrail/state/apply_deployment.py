"""Commands of outside configurations, duties and usage windows."""

import dataclasses

from geraniumrail.state import commands, results
from geraniumrail.state.apply import apply
from geraniumrail.state.tables import Tables

# Windows kept for repeats; at 5 s each, ten minutes.
MAX_WINDOWS = 120


@apply.register
def _replace(command: commands.ReplaceDeployment, tables: Tables) -> object:
    if command.deployment.version > tables.deployment.version:
        tables.deployment = command.deployment
    return results.DeploymentHeld(version=tables.deployment.version)


@apply.register
def _take(command: commands.TakeDuty, tables: Tables) -> object:
    number = max(tables.duty.number, command.above) + 1
    tables.duty = results.DutyHeld(holder=command.holder, number=number)
    return tables.duty


@apply.register
def _close(command: commands.CloseWindow, tables: Tables) -> object:
    fixed = tables.windows_by_number.get(command.window)
    if fixed is None:
        fixed = results.WindowClosed(window=command.window, counts=command.counts, sent=False)
        tables.windows_by_number[command.window] = fixed
        tables.reporting_instances = command.instances
        surplus = max(0, len(tables.windows_by_number) - MAX_WINDOWS)
        for window in sorted(tables.windows_by_number)[:surplus]:
            tables.windows_by_number.pop(window)
    return fixed


@apply.register
def _sent(command: commands.WindowSent, tables: Tables) -> object:
    fixed = tables.windows_by_number.get(command.window)
    if fixed is None:
        return results.WindowClosed(window=command.window, counts={}, sent=True)
    tables.windows_by_number[command.window] = dataclasses.replace(fixed, sent=True)
    return tables.windows_by_number[command.window]
