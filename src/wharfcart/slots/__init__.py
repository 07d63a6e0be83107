"""Granting of back-end slots to online requests and batch items."""
