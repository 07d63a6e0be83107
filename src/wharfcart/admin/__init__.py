"""HTTP edge for operators."""
