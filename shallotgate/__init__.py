"""Shallotgate: a query tier between callers and many shards."""
