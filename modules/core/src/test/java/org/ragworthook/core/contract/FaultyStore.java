package org.ragworthook.core.contract;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.store.WatchEvent;

/**
 * An object store that injects faults into the calls of a delegate.
 */
final class FaultyStore implements ObjectStore {

	private final ObjectStore store;

	private Runnable beforeUpdate = () -> {
	};

	private Fault fault;

	private int writesToFail;

	private int callsUntilFault = Integer.MAX_VALUE;

	private FaultyStore(ObjectStore store) {
		this.store = store;
	}

	static FaultyStore wrap(ObjectStore store) {
		return new FaultyStore(store);
	}

	ObjectStore healthy() {
		return this.store;
	}

	void beforeNextUpdate(Runnable action) {
		this.beforeUpdate = action;
	}

	void failNextWrites(Fault fault, int count) {
		this.fault = fault;
		this.writesToFail = count;
	}

	void failCallsFrom(int call, Fault fault) {
		this.fault = fault;
		this.callsUntilFault = call;
	}

	void heal() {
		this.callsUntilFault = Integer.MAX_VALUE;
		this.writesToFail = 0;
	}

	private <T> CompletableFuture<T> call(boolean write, Supplier<CompletableFuture<T>> action) {
		this.callsUntilFault--;
		boolean fails = this.callsUntilFault <= 0 || (write && this.writesToFail-- > 0);
		if (!fails) {
			return action.get();
		}
		if (this.fault == Fault.RESPONSE_LOST) {
			action.get();
			return failed(ErrorCode.STORE_OUTCOME_UNKNOWN);
		}
		return failed(ErrorCode.STORE_UNAVAILABLE);
	}

	private static <T> CompletableFuture<T> failed(ErrorCode code) {
		return CompletableFuture.failedFuture(new StoreException(code, "injected"));
	}

	@Override
	public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
		return call(false, () -> this.store.read(key));
	}

	@Override
	public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
		return call(true, () -> this.store.create(key, draft));
	}

	@Override
	public CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
		Runnable action = this.beforeUpdate;
		this.beforeUpdate = () -> {
		};
		action.run();
		return call(true, () -> this.store.update(key, draft, expected));
	}

	@Override
	public CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
		return call(true, () -> this.store.delete(key, expected));
	}

	@Override
	public CompletableFuture<Listing> list(Kind kind, Labels selector) {
		return call(false, () -> this.store.list(kind, selector));
	}

	@Override
	public Watch watch(Kind kind, Labels selector, long after, Consumer<WatchEvent> events, Runnable ended) {
		return this.store.watch(kind, selector, after, events, ended);
	}

	enum Fault {

		OUTAGE, RESPONSE_LOST

	}

}
