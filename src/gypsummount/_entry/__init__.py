"""The entry process - look-ups and the request path."""
