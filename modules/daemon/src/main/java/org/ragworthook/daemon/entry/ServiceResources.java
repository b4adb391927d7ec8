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
 * Resources shared by the online requests of one service.
 *
 * @param router chooses an upstream for each attempt
 * @param policy decides whether a request is retried after an attempt, within the
 * service's retry budget
 * @param queue holds requests while all upstreams are at their limits
 */
record ServiceResources(Router router, RetryPolicy policy, ServiceQueue queue) {

	private static final int MAX_ATTEMPTS = 4;

	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(5);

	private static final Duration MAX_BACKOFF = Duration.ofMillis(200);

	ServiceResources {
		Objects.requireNonNull(router, "router is null");
		Objects.requireNonNull(policy, "policy is null");
		Objects.requireNonNull(queue, "queue is null");
	}

	static ServiceResources of(Ticker ticker, Router router) {
		Backoff backoff = Backoff.of(INITIAL_BACKOFF, MAX_BACKOFF, ThreadLocalRandom::current);
		return new ServiceResources(router, RetryPolicy.of(RetryBudget.defaults(), backoff, MAX_ATTEMPTS),
				new ServiceQueue(ticker, router));
	}

}
