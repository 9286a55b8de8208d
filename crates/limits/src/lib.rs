//! Fleet-wide plan limits, load shedding and retry budgets.
