"""Whether work may start: limits, shedding, yielding, retry budgets."""
