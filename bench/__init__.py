"""Benches, the demonstration, and the stand-ins they run against."""
