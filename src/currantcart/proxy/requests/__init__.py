"""A request from its checks to its outcome: routing, attempts, retries."""
