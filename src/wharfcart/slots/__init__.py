"""Slots of back ends: who has taken which, who gets the next one, and who waits."""
