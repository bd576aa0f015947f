//! What to measure, and when, within a budget.
