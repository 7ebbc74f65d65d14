"""Load generator: callers, their workload and reports of the results."""
