"""Entry process: answers look-ups and forwards requests to upstreams."""
