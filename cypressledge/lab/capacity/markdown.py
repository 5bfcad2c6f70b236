"""Formatting of tables and figures for the capacity page."""

from tabulate import tabulate


def format_number(value: object) -> str:
    """Format a figure with three significant digits, or as an integer with commas between thousands."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return "" if value is None else str(value)
    if float(value).is_integer() and abs(value) < 1e9:
        return f"{int(value):,}"
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def markdown_table(headers: list[str], rows: list[list[object]]) -> str:
    """Return a Markdown table; vertical bars and line ends in cells are replaced by slashes and spaces."""
    cells = [[_cell(value) for value in row] for row in rows]
    return tabulate(cells, headers, tablefmt="github", disable_numparse=True)


def _cell(value: object) -> str:
    return format_number(value).replace("|", "/").replace("\n", " ")
