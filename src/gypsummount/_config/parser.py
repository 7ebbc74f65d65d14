"""Parser of rule files.

A file has one rule per line; each line ends with a comment that names
who asked for the rule.
"""

from collections.abc import Callable
from dataclasses import dataclass
import re

from gypsummount._config.fields import BITS_PER_BYTE
from gypsummount._config.fields import BITS_PER_GBIT
from gypsummount._config.fields import Field
from gypsummount._config.fields import FieldError
from gypsummount._config.fields import read_choice
from gypsummount._config.fields import read_count
from gypsummount._config.fields import read_flag
from gypsummount._config.fields import read_methods
from gypsummount._config.fields import read_name
from gypsummount._config.fields import read_number
from gypsummount._config.fields import read_prefix
from gypsummount._config.fields import read_servers
from gypsummount._config.fields import read_steps
from gypsummount._config.fields import RuleSchema
from gypsummount._config.model import Access
from gypsummount._config.model import build_link_name
from gypsummount._config.model import Domain
from gypsummount._config.model import KeyPolicy
from gypsummount._config.model import Link
from gypsummount._config.model import Pool
from gypsummount._config.model import RolloutPlan
from gypsummount._config.model import Route
from gypsummount._config.model import RuleSet
from gypsummount._config.model import Service
from gypsummount._config.model import ShiftCap
from gypsummount._config.model import StalePolicy
from gypsummount._config.model import Workspace
from gypsummount.errors import ConfigError

_WORD = re.compile(r"\S+")
MS_PER_S = 1000
DAY_S = 86_400
# The store answers a watch without a change after 5 s, and a call may take
# 2 s, so a shorter time would mark keys as stale while the store works.
MIN_STALE_S = 8


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault in a rule file; lines and columns count from 1."""

    line: int
    column: int
    text: str


@dataclass(slots=True, frozen=True)
class Word:
    """A word of a line and its column, counted from 1."""

    text: str
    column: int


@dataclass(slots=True)
class ParsedRules:
    """Rules, the line of each rule, by kind and name, and the faults."""

    rules: RuleSet
    lines: dict[tuple[str, str], int]
    faults: list[Fault]


_read_share = read_number(low=0.0001, high=1, unit="as a share")
_NAME_FIELD = Field(read_name)

RULE_SCHEMAS: dict[str, RuleSchema] = {
    "domain": RuleSchema(("name",), {"region": _NAME_FIELD}),
    "link": RuleSchema(
        ("first", "second"),
        {"gbits": Field(read_number(low=1e-6, high=1e6, unit="Gbit/s"))},
    ),
    "service": RuleSchema(
        ("name",),
        {
            "timeout_ms": Field(
                read_number(low=10, high=60_000, unit="milliseconds")
            ),
            # Forwarded requests may fill the slots up to this fraction.
            "headroom": Field(_read_share, "0.8"),
        },
    ),
    "route": RuleSchema(
        ("prefix",),
        {
            "service": _NAME_FIELD,
            "methods": Field(read_methods, "GET"),
            "repeatable": Field(read_flag),
            "access": Field(read_choice("keyed", "open"), "keyed"),
            "workspace": Field(read_name, ""),
        },
    ),
    "pool": RuleSchema(
        ("service",),
        {
            "domain": _NAME_FIELD,
            "version": _NAME_FIELD,
            "servers": Field(read_servers),
            "slots": Field(read_count),
        },
    ),
    "workspace": RuleSchema(
        ("name",),
        {
            "rate": Field(
                read_number(low=0.01, high=1e8, unit="requests per second")
            ),
            "burst": Field(read_number(low=1, high=1e8, unit="requests")),
            "weight": Field(
                read_number(low=0.01, high=1000, unit="as a weight"), "1"
            ),
        },
    ),
    # The largest share of a service that one rollout step may move.
    "cap": RuleSchema(("service",), {"share": Field(_read_share)}),
    "rollout": RuleSchema(
        ("name",),
        {
            "service": _NAME_FIELD,
            "old": _NAME_FIELD,
            "new": _NAME_FIELD,
            "steps": Field(read_steps),
            "bake_s": Field(read_number(low=0.1, high=DAY_S, unit="seconds")),
            "deadline_s": Field(
                read_number(low=1, high=7 * DAY_S, unit="seconds")
            ),
        },
    ),
    "keys": RuleSchema(
        (),
        {
            "stale_s": Field(
                read_number(low=MIN_STALE_S, high=DAY_S, unit="seconds")
            ),
            "when_stale": Field(read_choice("serve", "refuse")),
        },
    ),
}


def parse_rules(text: str) -> ParsedRules:
    """Parse a rule file; its faults are returned, not raised."""
    parsed = ParsedRules(RuleSet(), {}, [])
    for line_number, line in enumerate(text.splitlines(), start=1):
        body, separator, comment = line.partition("#")
        words = [
            Word(match.group(), match.start() + 1)
            for match in _WORD.finditer(body)
        ]
        if not words:
            continue
        if not separator or not comment.strip():
            parsed.faults.append(
                Fault(
                    line_number,
                    len(line.rstrip()) + 1,
                    "the line does not name who asked for the rule; "
                    "end it with '# who asked'",
                )
            )
        _parse_rule(parsed, line_number, words)
    return parsed


def load_rules(text: str) -> RuleSet:
    """Parse a rule file that has been checked before.

    :raises ConfigError: with the first fault, if there is any.
    """
    parsed = parse_rules(text)
    if parsed.faults:
        first = parsed.faults[0]
        raise ConfigError(
            f"line {first.line}: {first.text}; run 'gypsummount check'"
        )
    return parsed.rules


def _parse_rule(parsed: ParsedRules, line: int, words: list[Word]) -> None:
    kind = words[0]
    schema = RULE_SCHEMAS.get(kind.text)
    if schema is None:
        known_kinds = ", ".join(RULE_SCHEMAS)
        parsed.faults.append(
            Fault(
                line,
                kind.column,
                f"no rule is called '{kind.text}'; use {known_kinds}",
            )
        )
        return
    fault_count = len(parsed.faults)
    values = _read_values(parsed.faults, line, kind, schema, words[1:])
    if len(parsed.faults) > fault_count:
        return
    name = _add_rule(parsed.rules, kind.text, values)
    rule_key = (kind.text, name)
    if rule_key in parsed.lines:
        parsed.faults.append(
            Fault(
                line,
                kind.column,
                f"{kind.text} '{name}' is defined in line "
                f"{parsed.lines[rule_key]} too; keep one of them",
            )
        )
        return
    parsed.lines[rule_key] = line


def _read_values(
    faults: list[Fault],
    line: int,
    kind: Word,
    schema: RuleSchema,
    words: list[Word],
) -> dict[str, object]:
    values: dict[str, object] = {}
    positional_words = [word for word in words if "=" not in word.text]
    for name, word in zip(schema.positional, positional_words, strict=False):
        convert = read_prefix if name == "prefix" else read_name
        _read_value(faults, line, word, name, convert, word.text, values)
    for name in schema.positional[len(positional_words) :]:
        faults.append(
            Fault(line, kind.column, f"{kind.text} lacks its {name}; add it")
        )
    for word in positional_words[len(schema.positional) :]:
        faults.append(
            Fault(
                line,
                word.column,
                f"'{word.text}' is not expected; write field=value",
            )
        )
    for word in words:
        if "=" in word.text:
            _read_field(faults, line, kind, schema, word, values)
    for name, field in schema.fields.items():
        if name in values:
            continue
        # Without a default, the field is required.
        if field.default is None:
            faults.append(
                Fault(
                    line,
                    kind.column,
                    f"{kind.text} lacks {name}=…; add it",
                )
            )
        # An empty default makes the field optional, without a value.
        elif field.default == "":
            values[name] = None
        else:
            values[name] = field.convert(field.default)
    return values


def _read_field(
    faults: list[Fault],
    line: int,
    kind: Word,
    schema: RuleSchema,
    word: Word,
    values: dict[str, object],
) -> None:
    name, _, text = word.text.partition("=")
    field = schema.fields.get(name)
    if field is None:
        names = ", ".join(schema.fields)
        faults.append(
            Fault(
                line,
                word.column,
                f"{kind.text} has no field '{name}'; use {names}",
            )
        )
        return
    if name in values:
        faults.append(
            Fault(line, word.column, f"{name} is given twice; keep one")
        )
        return
    _read_value(faults, line, word, name, field.convert, text, values)


def _read_value(
    faults: list[Fault],
    line: int,
    word: Word,
    name: str,
    convert: Callable[[str], object],
    text: str,
    values: dict[str, object],
) -> None:
    try:
        values[name] = convert(text)
    except FieldError as error:
        values[name] = None
        faults.append(Fault(line, word.column, f"{name}: {error}"))


def _add_rule(rules: RuleSet, kind: str, values: dict[str, object]) -> str:
    match kind:
        case "domain":
            domain = Domain(**values)
            rules.domains[domain.name] = domain
            return domain.name
        case "link":
            return _add_link(rules, values)
        case "service":
            timeout_s = values["timeout_ms"] / MS_PER_S
            service = Service(values["name"], timeout_s, values["headroom"])
            rules.services[service.name] = service
            return service.name
        case "route":
            values["access"] = Access(values["access"])
            route = Route(**values)
            rules.routes[route.prefix] = route
            return route.prefix
        case "pool":
            pool = Pool(**values)
            name = f"{pool.service}/{pool.domain}/{pool.version}"
            rules.pools[name] = pool
            return name
        case "workspace":
            workspace = Workspace(**values)
            rules.workspaces[workspace.name] = workspace
            return workspace.name
        case "cap":
            cap = ShiftCap(**values)
            rules.caps[cap.service] = cap
            return cap.service
        case "rollout":
            plan = RolloutPlan(**values)
            rules.rollouts[plan.name] = plan
            return plan.name
        case _:
            policy = KeyPolicy(
                values["stale_s"], StalePolicy(values["when_stale"])
            )
            rules.key_policies["keys"] = policy
            return "keys"


def _add_link(rules: RuleSet, values: dict[str, object]) -> str:
    name = build_link_name(values["first"], values["second"])
    rules.links[name] = Link(
        name,
        values["first"],
        values["second"],
        values["gbits"] * BITS_PER_GBIT / BITS_PER_BYTE,
    )
    return name
