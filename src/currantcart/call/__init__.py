"""Calls and call chains: context, deadline, retry allowance and budget."""
