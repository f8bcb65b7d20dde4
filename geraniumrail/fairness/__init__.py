"""Fair queueing by organisation, limits, shedding and retry budgets."""
