"""Rule files - grammar, model, checks and differences."""
