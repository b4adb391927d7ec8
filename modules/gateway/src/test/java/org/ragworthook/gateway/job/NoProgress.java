package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.gateway.feed.Changes;
import org.ragworthook.gateway.feed.Feed;

/**
 * A listing of saved progress without entries.
 */
final class NoProgress implements Feed<List<ItemProgress>> {

	@Override
	public String name() {
		return "progress";
	}

	@Override
	public CompletableFuture<Changes<List<ItemProgress>>> list() {
		return CompletableFuture.completedFuture(new Changes<>(List.of(), 0));
	}

	@Override
	public CompletableFuture<Optional<Changes<List<ItemProgress>>>> changes(long after, Duration wait) {
		return CompletableFuture.completedFuture(Optional.empty());
	}

}
