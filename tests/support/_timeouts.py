"""Time limits of waits."""

# Bound that guarantees G4, G8 and G10 state.
PROPAGATION_BOUND_S = 5
# For waits without a stated bound; long enough for a busy machine.
WAIT_TIMEOUT_S = 60
