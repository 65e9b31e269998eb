"""Which instances there are: gossip between nodes, in the manner of SWIM."""
