"""HTTP interface for operators."""
