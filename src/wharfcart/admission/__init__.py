"""Admission control: rate limits, preemption, retry budgets, quarantine of poison requests."""
