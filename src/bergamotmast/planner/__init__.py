"""The planner: decides what each engine should be, under one authority."""
