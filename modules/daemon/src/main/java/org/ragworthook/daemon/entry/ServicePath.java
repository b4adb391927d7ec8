package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;

import org.ragworthook.core.retry.Backoff;
import org.ragworthook.core.retry.RetryBudget;
import org.ragworthook.core.retry.RetryPolicy;
import org.ragworthook.core.routing.Router;
import org.ragworthook.core.time.Ticker;

/**
 * What the online requests of one service share: the choice of an upstream, the retry
 * budget and the queue.
 *
 * @param router chooses upstreams
 * @param policy decides what follows an attempt
 * @param queue holds requests while all upstreams are at their limits
 */
record ServicePath(Router router, RetryPolicy policy, ServiceQueue queue) {

	private static final int MOST_ATTEMPTS = 4;

	private static final Duration FIRST_DELAY = Duration.ofMillis(5);

	private static final Duration LONGEST_DELAY = Duration.ofMillis(200);

	ServicePath {
		Objects.requireNonNull(router, "router is null");
		Objects.requireNonNull(policy, "policy is null");
		Objects.requireNonNull(queue, "queue is null");
	}

	static ServicePath of(Ticker ticker, Router router) {
		Backoff backoff = Backoff.of(FIRST_DELAY, LONGEST_DELAY, ThreadLocalRandom::current);
		return new ServicePath(router, RetryPolicy.of(RetryBudget.defaults(), backoff, MOST_ATTEMPTS),
				new ServiceQueue(ticker, router));
	}

}
