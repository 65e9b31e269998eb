"""Translation of the platform's names, formats and calls; no decisions."""
