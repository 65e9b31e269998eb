"""The platform's key-value store: ports and adapters."""
