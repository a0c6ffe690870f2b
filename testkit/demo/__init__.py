"""Demonstration on a reduced clearing deployment."""
