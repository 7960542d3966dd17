"""Documents that operators submit: inventory and route plan."""
