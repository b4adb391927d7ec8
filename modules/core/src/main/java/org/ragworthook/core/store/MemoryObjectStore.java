package org.ragworthook.core.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;

/**
 * An in-memory object store for tests, for examples of embedding and as the backing store
 * of the platform stand-in. Returned futures are already complete.
 */
public final class MemoryObjectStore implements ObjectStore {

	/**
	 * The number of past events that are kept for watches that start at an older version.
	 */
	public static final int MAX_HISTORY_EVENTS = 10_000;

	private final Map<Kind, TreeMap<String, Stored>> collections = new TreeMap<>();

	private final Deque<WatchEvent> history = new ArrayDeque<>();

	private final List<Subscription> subscriptions = new CopyOnWriteArrayList<>();

	private long version;

	private MemoryObjectStore() {
		for (Kind kind : Kind.values()) {
			this.collections.put(kind, new TreeMap<>());
		}
	}

	/**
	 * Returns an empty store.
	 * @return a new store
	 */
	public static MemoryObjectStore empty() {
		return new MemoryObjectStore();
	}

	@Override
	public synchronized CompletableFuture<Optional<Stored>> read(ObjectKey key) {
		return CompletableFuture.completedFuture(Optional.ofNullable(collection(key).get(key.name())));
	}

	@Override
	public synchronized CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
		if (draft.bytes() > Draft.MAX_BYTES) {
			return tooLarge(key, draft);
		}
		if (collection(key).containsKey(key.name())) {
			return conflict(key + " exists");
		}
		return CompletableFuture.completedFuture(put(key, draft));
	}

	@Override
	public synchronized CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
		if (draft.bytes() > Draft.MAX_BYTES) {
			return tooLarge(key, draft);
		}
		Stored current = collection(key).get(key.name());
		if (current == null || current.version() != expected) {
			return conflict(key + " is not at version " + expected);
		}
		return CompletableFuture.completedFuture(put(key, draft));
	}

	@Override
	public synchronized CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
		Stored current = collection(key).get(key.name());
		if (current == null) {
			return CompletableFuture.completedFuture(false);
		}
		if (current.version() != expected) {
			return conflict(key + " is not at version " + expected);
		}
		collection(key).remove(key.name());
		this.version++;
		publish(new WatchEvent(new Stored(key, this.version, current.draft()), true));
		return CompletableFuture.completedFuture(true);
	}

	@Override
	public synchronized CompletableFuture<Listing> list(Kind kind, Labels selector) {
		List<Stored> selected = this.collections.get(kind)
			.values()
			.stream()
			.filter((stored) -> selector.selects(stored.draft().labels()))
			.sorted(Comparator.comparing((Stored stored) -> stored.key().name()))
			.toList();
		return CompletableFuture.completedFuture(new Listing(selected, this.version));
	}

	@Override
	public Watch watch(Kind kind, Labels selector, long after, Consumer<WatchEvent> events, Runnable ended) {
		Subscription subscription = new Subscription(kind, selector, events, ended);
		synchronized (this) {
			if (!this.history.isEmpty() && this.history.peekFirst().object().version() > after + 1
					&& this.history.size() >= MAX_HISTORY_EVENTS) {
				ended.run();
				return () -> {
				};
			}
			List<WatchEvent> missed = new ArrayList<>(this.history);
			missed.stream()
				.filter((event) -> event.object().version() > after)
				.forEach(subscription::deliverIfSelected);
			this.subscriptions.add(subscription);
		}
		return () -> this.subscriptions.remove(subscription);
	}

	/**
	 * Ends every watch, as a restart of the platform does.
	 */
	public void endWatches() {
		List<Subscription> ending = List.copyOf(this.subscriptions);
		this.subscriptions.removeAll(ending);
		ending.forEach((subscription) -> subscription.ended().run());
	}

	private TreeMap<String, Stored> collection(ObjectKey key) {
		return this.collections.get(Objects.requireNonNull(key, "key is null").kind());
	}

	private Stored put(ObjectKey key, Draft draft) {
		this.version++;
		Stored stored = new Stored(key, this.version, draft);
		collection(key).put(key.name(), stored);
		publish(new WatchEvent(stored, false));
		return stored;
	}

	private void publish(WatchEvent event) {
		this.history.addLast(event);
		if (this.history.size() > MAX_HISTORY_EVENTS) {
			this.history.removeFirst();
		}
		this.subscriptions.forEach((subscription) -> subscription.deliverIfSelected(event));
	}

	private static CompletableFuture<Stored> tooLarge(ObjectKey key, Draft draft) {
		return CompletableFuture.failedFuture(new StoreException(ErrorCode.STORE_TOO_LARGE,
				"value of " + key + " has " + draft.bytes() + " bytes, over " + Draft.MAX_BYTES));
	}

	private static <T> CompletableFuture<T> conflict(String detail) {
		return CompletableFuture.failedFuture(new StoreException(ErrorCode.STORE_CONFLICT, detail));
	}

	private record Subscription(Kind kind, Labels selector, Consumer<WatchEvent> events, Runnable ended) {

		void deliverIfSelected(WatchEvent event) {
			if (event.object().key().kind() == this.kind && this.selector.selects(event.object().draft().labels())) {
				this.events.accept(event);
			}
		}

	}

}
