"""HTTP edge for callers."""
