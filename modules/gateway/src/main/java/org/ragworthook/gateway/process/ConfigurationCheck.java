package org.ragworthook.gateway.process;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import org.ragworthook.gateway.feed.Change;
import org.ragworthook.gateway.feed.Feed;
import org.ragworthook.gateway.route.ActiveConfiguration;
import org.ragworthook.gateway.route.Configuration;

/**
 * Reads the configuration from the platform and puts it in force. The watch of the
 * configuration cannot replace this check: if it delivers no change, it may have missed
 * one.
 */
final class ConfigurationCheck implements Supplier<CompletableFuture<Boolean>> {

	private final Feed<Configuration> feed;

	private final ActiveConfiguration inForce;

	private final Executor loop;

	ConfigurationCheck(Feed<Configuration> feed, ActiveConfiguration inForce, Executor loop) {
		this.feed = Objects.requireNonNull(feed, "feed is null");
		this.inForce = Objects.requireNonNull(inForce, "inForce is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
	}

	/**
	 * Performs a check.
	 * @return whether the configuration in force is at least as new as the platform's;
	 * false if the platform's cannot be decoded
	 */
	@Override
	public CompletableFuture<Boolean> get() {
		return this.feed.list()
			.thenApplyAsync((all) -> all.changes().stream().map(Change::value).anyMatch(this::putInForce), this.loop);
	}

	private boolean putInForce(Optional<Configuration> read) {
		if (read.isEmpty()) {
			return false;
		}
		this.inForce.offer(read.get());
		return this.inForce.current().filter((present) -> present.version() >= read.get().version()).isPresent();
	}

}
