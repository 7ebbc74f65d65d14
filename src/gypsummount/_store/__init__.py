"""The platform's object store behind an abstract base class."""
