"""One call and its chain: context, deadline and retry allowance."""
