"""A request on its way: checked, routed, tried, told how it ended."""
