"""Stand-ins of the platform, its backends, clients and operator.

Only the standard library is used, so that the cases run after the build of the
deploy file alone.
"""
