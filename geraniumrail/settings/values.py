"""Types of the values in the settings tree."""

Value = bool | int | float | str
