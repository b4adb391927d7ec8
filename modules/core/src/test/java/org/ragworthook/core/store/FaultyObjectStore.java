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
 * A store on which calls fail as a test plans it.
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
	 * Returns a store without faults so far.
	 * @param store takes the calls that get through
	 * @return the store
	 */
	public static FaultyObjectStore over(ObjectStore store) {
		return new FaultyObjectStore(store);
	}

	/**
	 * Sets what happens to each call from now on.
	 * @param faults the fault of a call
	 */
	public void plan(Function<Call, Fault> faults) {
		this.plan = faults;
	}

	/**
	 * Sets one fault for all calls from now on.
	 * @param fault what happens
	 */
	public void plan(Fault fault) {
		this.plan = (call) -> fault;
	}

	/**
	 * Returns the calls made so far.
	 * @return the calls in order
	 */
	public List<Call> calls() {
		return List.copyOf(this.calls);
	}

	/**
	 * Lets delayed calls through, in order.
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

	private <T> CompletableFuture<T> call(String verb, Kind kind, String name, Supplier<CompletableFuture<T>> step) {
		Call call = new Call(this.calls.size(), verb, kind, name);
		this.calls.add(call);
		return switch (this.plan.apply(call)) {
			case NONE -> step.get();
			case REFUSED -> failed(ErrorCode.STORE_UNAVAILABLE, call);
			case REQUEST_LOST -> failed(ErrorCode.STORE_OUTCOME_UNKNOWN, call);
			case ANSWER_LOST -> {
				step.get();
				yield failed(ErrorCode.STORE_OUTCOME_UNKNOWN, call);
			}
			case LATE -> {
				this.delayed.add(step::get);
				yield failed(ErrorCode.STORE_OUTCOME_UNKNOWN, call);
			}
			case DEAD_BEFORE -> new CompletableFuture<>();
			case DEAD_AFTER -> {
				step.get();
				yield new CompletableFuture<>();
			}
			case DELAYED -> {
				CompletableFuture<T> later = new CompletableFuture<>();
				this.delayed.add(() -> complete(later, step.get()));
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
		return CompletableFuture.failedFuture(new StoreException(code, "planned for " + call));
	}

	/**
	 * What happens to a call.
	 */
	public enum Fault {

		/** It succeeds. */
		NONE,

		/** It has no effect, and the caller is told so. */
		REFUSED,

		/** It has no effect, and the caller cannot know. */
		REQUEST_LOST,

		/** It takes effect, and the caller cannot know. */
		ANSWER_LOST,

		/** The caller cannot know, and it takes effect when the test delivers it. */
		LATE,

		/** It has no effect and no answer: the caller died before it. */
		DEAD_BEFORE,

		/** It takes effect and has no answer: the caller died after it. */
		DEAD_AFTER,

		/** It takes effect when the test delivers it. */
		DELAYED

	}

	/**
	 * A call that was made.
	 *
	 * @param number how many calls came before it
	 * @param verb what it does
	 * @param kind the collection
	 * @param name the object's name, empty for a list
	 */
	public record Call(int number, String verb, Kind kind, String name) {

		/**
		 * Tells whether the call changes something.
		 * @return whether it is a create, an update or a delete
		 */
		public boolean writes() {
			return !this.verb.equals("read") && !this.verb.equals("list");
		}

	}

}
