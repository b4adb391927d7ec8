package org.ragworthook.standin.capacity;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.store.WatchEvent;

/**
 * Counts the calls to a store.
 */
final class CountingStore implements ObjectStore {

	private final ObjectStore store;

	private long reads;

	private long writes;

	private long watches;

	private long events;

	private long eventBytes;

	CountingStore(ObjectStore store) {
		this.store = Objects.requireNonNull(store, "store is null");
	}

	long reads() {
		return this.reads;
	}

	long writes() {
		return this.writes;
	}

	long watches() {
		return this.watches;
	}

	long events() {
		return this.events;
	}

	long eventBytes() {
		return this.eventBytes;
	}

	void reset() {
		this.reads = 0;
		this.writes = 0;
		this.watches = 0;
		this.events = 0;
		this.eventBytes = 0;
	}

	@Override
	public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
		this.reads++;
		return this.store.read(key);
	}

	@Override
	public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
		this.writes++;
		return this.store.create(key, draft);
	}

	@Override
	public CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
		this.writes++;
		return this.store.update(key, draft, expected);
	}

	@Override
	public CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
		this.writes++;
		return this.store.delete(key, expected);
	}

	@Override
	public CompletableFuture<Listing> list(Kind kind, Labels selector) {
		this.reads++;
		return this.store.list(kind, selector);
	}

	@Override
	public Watch watch(Kind kind, Labels selector, long after, Consumer<WatchEvent> taker, Runnable ended) {
		this.watches++;
		return this.store.watch(kind, selector, after, (event) -> {
			this.events++;
			this.eventBytes += event.object().draft().bytes();
			taker.accept(event);
		}, ended);
	}

}
