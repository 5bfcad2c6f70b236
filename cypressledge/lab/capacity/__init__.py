"""Capacity runs at the target's size with their checks, and the page of requirements and their limits."""
