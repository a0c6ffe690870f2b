"""Stand-ins and measurements for the gateway."""
