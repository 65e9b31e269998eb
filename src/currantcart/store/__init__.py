"""The platform's key-value service: port and adapter."""
