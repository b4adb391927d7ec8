package org.ragworthook.standin.bench;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.store.WatchEvent;

/**
 * One entry's way to a store: counts calls and bytes, and can be cut.
 */
final class MeasuredStore implements ObjectStore {

	private final ObjectStore store;

	private long calls;

	private long bytes;

	private boolean cut;

	MeasuredStore(ObjectStore store) {
		this.store = Objects.requireNonNull(store, "store is null");
	}

	long calls() {
		return this.calls;
	}

	long bytes() {
		return this.bytes;
	}

	/**
	 * Lets no call through any more, as when the process dies.
	 */
	void cut() {
		this.cut = true;
	}

	private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
		this.calls++;
		return this.cut ? new CompletableFuture<>() : call.get();
	}

	@Override
	public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
		return call(() -> this.store.read(key)).thenApply((found) -> {
			found.ifPresent((stored) -> this.bytes += stored.draft().bytes());
			return found;
		});
	}

	@Override
	public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
		this.bytes += draft.bytes();
		return call(() -> this.store.create(key, draft));
	}

	@Override
	public CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
		this.bytes += draft.bytes();
		return call(() -> this.store.update(key, draft, expected));
	}

	@Override
	public CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
		return call(() -> this.store.delete(key, expected));
	}

	@Override
	public CompletableFuture<Listing> list(Kind kind, Labels selector) {
		return call(() -> this.store.list(kind, selector)).thenApply((listing) -> {
			listing.objects().forEach((stored) -> this.bytes += stored.draft().bytes());
			return listing;
		});
	}

	@Override
	public Watch watch(Kind kind, Labels selector, long after, Consumer<WatchEvent> events, Runnable ended) {
		this.calls++;
		return this.store.watch(kind, selector, after, (event) -> {
			if (!this.cut) {
				events.accept(event);
			}
		}, ended);
	}

}
