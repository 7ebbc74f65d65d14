"""Exceptions to expect when decoding documents of other programs."""

# Causes: unexpected structure or types, infinite numbers
# (OverflowError) and deep nesting (RecursionError).
DECODING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
