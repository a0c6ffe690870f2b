"""Bounds and limits of waits."""

# Stated bound of G4, G8 and G10.
BOUND_S = 5
# Limit of waits that have no stated bound; a busy machine may be slow.
LIMIT_S = 60
