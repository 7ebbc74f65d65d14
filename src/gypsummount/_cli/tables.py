"""Plain text tables for the terminal."""

from collections.abc import Sequence

COLUMN_GAP = "  "


def format_table(
    header: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Return a table with aligned columns; numbers are right-aligned."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(title), *(len(row[index]) for row in cells)])
        for index, title in enumerate(header)
    ]
    lines = [_format_line(header, widths, [False] * len(header))]
    for row, values in zip(cells, rows, strict=True):
        numeric = [isinstance(cell, int | float) for cell in values]
        lines.append(_format_line(row, widths, numeric))
    return "\n".join(line.rstrip() for line in lines)


def _format_line(
    cells: Sequence[str], widths: list[int], numeric: list[bool]
) -> str:
    return COLUMN_GAP.join(
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(cells, widths, numeric, strict=True)
    )
