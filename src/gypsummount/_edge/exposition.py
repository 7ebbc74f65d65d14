"""Metrics in the Prometheus text exposition format."""

from gypsummount._common.metrics import Metrics

PREFIX = "gypsummount"


def write_exposition(
    metrics: Metrics, gauges: dict[str, float | int], now: float
) -> str:
    """Return counters, gauges and latency quantiles, one per line.

    Latencies are in milliseconds, labelled by workspace and route.  Gauges
    that are integers are written with all digits.
    """
    lines = [
        f"{PREFIX}_{_format_name(name)}_total {count}"
        for name, count in sorted(metrics.read_counts().items())
    ]
    lines += [
        f"{PREFIX}_{name} {_format_value(value)}"
        for name, value in gauges.items()
    ]
    for summary in metrics.summarise(now):
        labels = f'workspace="{summary.workspace}",route="{summary.route}"'
        for quantile, value in (
            ("0.5", summary.p50_ms),
            ("0.99", summary.p99_ms),
        ):
            lines.append(
                f'{PREFIX}_latency_ms{{{labels},quantile="{quantile}"}} '
                f"{value:g}"
            )
        lines.append(f"{PREFIX}_latency_ms_count{{{labels}}} {summary.count}")
    return "\n".join(lines) + "\n"


def _format_name(name: str) -> str:
    return name.replace(".", "_").replace("-", "_")


def _format_value(value: float | int) -> str:
    return str(value) if isinstance(value, int) else f"{value:g}"
