"""Generated messages and services of the peer protocol."""
