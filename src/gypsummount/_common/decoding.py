"""Errors of decoding what another program wrote."""

# Documents of another shape, with infinite numbers, or of great depth.
DECODING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
