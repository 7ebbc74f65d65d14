"""Rule files: parser, typed model, validation and comparison."""
