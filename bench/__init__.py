"""Benchmarks, the demonstration, and the stand-ins that they run against."""
