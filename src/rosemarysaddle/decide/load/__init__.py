"""Load: lending and queueing of connections, load balancing."""
