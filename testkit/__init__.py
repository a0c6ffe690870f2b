"""Test equipment: stand-ins, fault proxy, process runner, soak and bench."""
