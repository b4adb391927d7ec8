package org.ragworthook.standin.bench;

import java.util.HashMap;
import java.util.Map;
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
 * A store that takes chunks and drops their content, so that the memory of whoever writes
 * them can be measured beside it.
 */
final class ForgetfulStore implements ObjectStore {

	private final Map<ObjectKey, Stored> objects = new HashMap<>();

	private long version;

	@Override
	public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
		return CompletableFuture.completedFuture(Optional.ofNullable(this.objects.get(key)));
	}

	@Override
	public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
		return CompletableFuture.completedFuture(put(key, draft));
	}

	@Override
	public CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
		return CompletableFuture.completedFuture(put(key, draft));
	}

	private Stored put(ObjectKey key, Draft draft) {
		Stored stored = new Stored(key, ++this.version, draft);
		if (key.kind() != Kind.CHUNK) {
			this.objects.put(key, stored);
		}
		return stored;
	}

	@Override
	public CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
		return CompletableFuture.completedFuture(this.objects.remove(key) != null);
	}

	@Override
	public CompletableFuture<Listing> list(Kind kind, Labels selector) {
		return CompletableFuture.completedFuture(new Listing(this.objects.values()
			.stream()
			.filter((stored) -> stored.key().kind() == kind && selector.selects(stored.draft().labels()))
			.toList(), this.version));
	}

	@Override
	public Watch watch(Kind kind, Labels selector, long after, Consumer<WatchEvent> events, Runnable ended) {
		return () -> {
		};
	}

}
