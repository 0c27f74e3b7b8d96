"""Run the daemon with one mechanism off, to show that its test can fail.

The mechanisms are replaced from the tests; the product has no such switches.
"""
