"""The experiments, one module each."""
