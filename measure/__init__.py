"""Compare scheduling decisions with simple baselines and measure their cost."""
