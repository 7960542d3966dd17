"""Control log: replication, elections, voters and its state."""
