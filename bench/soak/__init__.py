"""Injects random faults into real nodes and checks their promises."""
