"""Bounds and limits of waits."""

# Stated bound of G4, G8 and G10.
PROPAGATION_BOUND_S = 5
# Limit of waits that have no stated bound; a busy machine may be slow.
WAIT_TIMEOUT_S = 60
