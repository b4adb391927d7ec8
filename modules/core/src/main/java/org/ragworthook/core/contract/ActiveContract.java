package org.ragworthook.core.contract;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * The contract that is active in this process. Its version only ever increases.
 * <p>
 * Revisions arrive from a watch, from listings and from peers, and may be stale: a watch
 * repeats events, and a peer that was partitioned sends an old revision. Activating a
 * stale revision would, for example, let a removed account call again. A revision that is
 * not newer than the active one is therefore ignored, whatever its source.
 */
public final class ActiveContract {

	private final AtomicReference<State> state = new AtomicReference<>(State.EMPTY);

	private final List<Consumer<Contract>> listeners = new CopyOnWriteArrayList<>();

	private ActiveContract() {
	}

	/**
	 * Returns the state of a process that has not received any revision.
	 * @return an instance without an active contract
	 */
	public static ActiveContract empty() {
		return new ActiveContract();
	}

	/**
	 * Activates a revision if it is newer than the active one.
	 * @param revision an accepted revision
	 * @return whether the revision was activated
	 * @throws org.ragworthook.core.error.ConfigException if this process cannot parse the
	 * text; the active contract stays unchanged
	 */
	public boolean offer(Revision revision) {
		Objects.requireNonNull(revision, "revision is null");
		if (revision.version() <= version()) {
			return false;
		}
		State candidate = new State(Optional.of(revision),
				Optional.of(Contract.parse(revision.version(), revision.text())));
		State previous = this.state
			.getAndUpdate((current) -> (current.version() < candidate.version()) ? candidate : current);
		if (previous.version() >= candidate.version()) {
			return false;
		}
		this.listeners.forEach((listener) -> listener.accept(candidate.contract().orElseThrow()));
		return true;
	}

	/**
	 * Returns the active contract.
	 * @return the contract, or empty before the first activation
	 */
	public Optional<Contract> contract() {
		return this.state.get().contract();
	}

	/**
	 * Returns the active revision.
	 * @return the revision, or empty before the first activation
	 */
	public Optional<Revision> revision() {
		return this.state.get().revision();
	}

	/**
	 * Returns the version of the active contract.
	 * @return the version, or 0 before the first activation
	 */
	public long version() {
		return this.state.get().version();
	}

	/**
	 * Registers a listener that is called with each contract activated from now on.
	 * Contracts activated concurrently may be passed in either order; the listener has to
	 * compare versions or read {@link #contract()}.
	 * @param listener called with each activated contract, on the thread that activates
	 * it
	 */
	public void addListener(Consumer<Contract> listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener is null"));
	}

	private record State(Optional<Revision> revision, Optional<Contract> contract) {

		static final State EMPTY = new State(Optional.empty(), Optional.empty());

		long version() {
			return this.revision.map(Revision::version).orElse(0L);
		}

	}

}
