"""Compares two configurations rule by rule."""

from dataclasses import dataclass
from dataclasses import fields
from enum import Enum

from gypsummount._config.model import RuleSet


class ChangeKind(Enum):
    """How a rule differs; the value marks it in the operator's output."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(slots=True, frozen=True)
class Change:
    """One rule that differs between two configurations."""

    kind: ChangeKind
    rule_type: str
    name: str

    def describe(self) -> str:
        """Return the change as one line of text, such as '+ workspaces w'."""
        return f"{self.kind.value} {self.rule_type} {self.name}"


def compare_rules(old: RuleSet, new: RuleSet) -> list[Change]:
    """Return the rules that were added, removed or changed, by type."""
    changes: list[Change] = []
    for rule_type in fields(RuleSet):
        before = getattr(old, rule_type.name)
        after = getattr(new, rule_type.name)
        for name in sorted(before.keys() | after.keys()):
            kind = _get_kind(before.get(name), after.get(name))
            if kind is not None:
                changes.append(Change(kind, rule_type.name, name))
    return changes


def _get_kind(before: object, after: object) -> ChangeKind | None:
    if before == after:
        return None
    if before is None:
        return ChangeKind.ADDED
    if after is None:
        return ChangeKind.REMOVED
    return ChangeKind.CHANGED
