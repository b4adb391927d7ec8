package org.ragworthook.core.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;

/**
 * An object store that injects faults into calls as planned by a test.
 */
public final class FaultyObjectStore implements ObjectStore {

	private final ObjectStore store;

	private final List<Call> calls = new ArrayList<>();

	private final Deque<Runnable> delayed = new ArrayDeque<>();

	private Function<Call, Fault> plan = (call) -> Fault.NONE;

	private FaultyObjectStore(ObjectStore store) {
		this.store = Objects.requireNonNull(store, "store is null");
	}

	/**
	 * Returns a store that injects no faults until some are planned.
	 * @param store the store that receives the calls that are not lost
	 * @return the store
	 */
	public static FaultyObjectStore over(ObjectStore store) {
		return new FaultyObjectStore(store);
	}

	/**
	 * Sets the faults of all further calls.
	 * @param faults chooses the fault of a call
	 */
	public void plan(Function<Call, Fault> faults) {
		this.plan = faults;
	}

	/**
	 * Sets one fault for all further calls.
	 * @param fault the fault of each call
	 */
	public void plan(Fault fault) {
		this.plan = (call) -> fault;
	}

	/**
	 * Returns the calls made so far, without watches.
	 * @return the calls in order
	 */
	public List<Call> calls() {
		return List.copyOf(this.calls);
	}

	/**
	 * Passes the delayed calls on to the store, in order.
	 */
	public void deliver() {
		while (!this.delayed.isEmpty()) {
			this.delayed.poll().run();
		}
	}

	@Override
	public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
		return call("read", key.kind(), key.name(), () -> this.store.read(key));
	}

	@Override
	public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
		return call("create", key.kind(), key.name(), () -> this.store.create(key, draft));
	}

	@Override
	public CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
		return call("update", key.kind(), key.name(), () -> this.store.update(key, draft, expected));
	}

	@Override
	public CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
		return call("delete", key.kind(), key.name(), () -> this.store.delete(key, expected));
	}

	@Override
	public CompletableFuture<Listing> list(Kind kind, Labels selector) {
		return call("list", kind, "", () -> this.store.list(kind, selector));
	}

	@Override
	public Watch watch(Kind kind, Labels selector, long after, Consumer<WatchEvent> events, Runnable ended) {
		return this.store.watch(kind, selector, after, events, ended);
	}

	private <T> CompletableFuture<T> call(String verb, Kind kind, String name,
			Supplier<CompletableFuture<T>> operation) {
		Call call = new Call(this.calls.size(), verb, kind, name);
		this.calls.add(call);
		return switch (this.plan.apply(call)) {
			case NONE -> operation.get();
			case REFUSED -> failed(ErrorCode.STORE_UNAVAILABLE, call);
			case REQUEST_LOST -> failed(ErrorCode.STORE_OUTCOME_UNKNOWN, call);
			case ANSWER_LOST -> {
				operation.get();
				yield failed(ErrorCode.STORE_OUTCOME_UNKNOWN, call);
			}
			case LATE -> {
				this.delayed.add(operation::get);
				yield failed(ErrorCode.STORE_OUTCOME_UNKNOWN, call);
			}
			case DEAD_BEFORE -> new CompletableFuture<>();
			case DEAD_AFTER -> {
				operation.get();
				yield new CompletableFuture<>();
			}
			case DELAYED -> {
				CompletableFuture<T> later = new CompletableFuture<>();
				this.delayed.add(() -> complete(later, operation.get()));
				yield later;
			}
		};
	}

	private static <T> void complete(CompletableFuture<T> later, CompletableFuture<T> result) {
		result.whenComplete((value, failure) -> {
			if (failure != null) {
				later.completeExceptionally(failure);
			}
			else {
				later.complete(value);
			}
		});
	}

	private static <T> CompletableFuture<T> failed(ErrorCode code, Call call) {
		return CompletableFuture.failedFuture(new StoreException(code, "injected fault of " + call));
	}

	/**
	 * The fault that is injected into a call.
	 */
	public enum Fault {

		/** No fault: the call is passed on. */
		NONE,

		/** The call has no effect and fails with {@code STORE_UNAVAILABLE}. */
		REFUSED,

		/** The call has no effect and fails with {@code STORE_OUTCOME_UNKNOWN}. */
		REQUEST_LOST,

		/** The call takes effect and fails with {@code STORE_OUTCOME_UNKNOWN}. */
		ANSWER_LOST,

		/**
		 * The call fails with {@code STORE_OUTCOME_UNKNOWN} and takes effect on
		 * {@link FaultyObjectStore#deliver}.
		 */
		LATE,

		/** The call has no effect and never completes: the caller crashed before it. */
		DEAD_BEFORE,

		/** The call takes effect and never completes: the caller crashed after it. */
		DEAD_AFTER,

		/** The call takes effect and completes on {@link FaultyObjectStore#deliver}. */
		DELAYED

	}

	/**
	 * A call to the store.
	 *
	 * @param number the number of earlier calls
	 * @param verb the operation, such as {@code create}
	 * @param kind the collection of the call
	 * @param name the object's name; empty for a list call
	 */
	public record Call(int number, String verb, Kind kind, String name) {

		/**
		 * Returns whether the call is a write.
		 * @return whether it is a create, an update or a delete
		 */
		public boolean writes() {
			return !this.verb.equals("read") && !this.verb.equals("list");
		}

	}

}
