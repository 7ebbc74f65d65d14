"""Plain text tables for the terminal."""

from collections.abc import Sequence

GAP = "  "


def format_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with aligned columns; numbers are right-aligned."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(title), *(len(row[index]) for row in cells)])
        for index, title in enumerate(head)
    ]
    lines = [_format_line(head, widths, [False] * len(head))]
    for row, source in zip(cells, rows, strict=True):
        numeric = [isinstance(cell, int | float) for cell in source]
        lines.append(_format_line(row, widths, numeric))
    return "\n".join(line.rstrip() for line in lines)


def _format_line(
    cells: Sequence[str], widths: list[int], numeric: list[bool]
) -> str:
    return GAP.join(
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(cells, widths, numeric, strict=True)
    )
