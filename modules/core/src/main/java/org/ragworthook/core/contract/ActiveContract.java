package org.ragworthook.core.contract;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * The contract that this process acts by. It only ever moves to a higher version.
 * <p>
 * Revisions come from a watch, from listings and from peers, and any of them may be late:
 * a watch repeats events, a peer that was cut off sends what it has. Taken as they come
 * they would put an older text back in force, and one would notice a refused account
 * calling again. So a revision that is not newer than the one in force changes nothing,
 * whoever sends it.
 */
public final class ActiveContract {

	private final AtomicReference<State> state = new AtomicReference<>(State.EMPTY);

	private final List<Consumer<Contract>> listeners = new CopyOnWriteArrayList<>();

	private ActiveContract() {
	}

	/**
	 * Returns a process's state before it knows of any text.
	 * @return nothing in force
	 */
	public static ActiveContract empty() {
		return new ActiveContract();
	}

	/**
	 * Takes a revision if it is newer.
	 * @param revision a revision that was accepted
	 * @return whether it has come into force here
	 * @throws org.ragworthook.core.error.ConfigException if this process cannot read the
	 * text; the earlier one stays in force
	 */
	public boolean offer(Revision revision) {
		Objects.requireNonNull(revision, "revision is null");
		if (revision.version() <= version()) {
			return false;
		}
		State fresh = new State(Optional.of(revision),
				Optional.of(Contract.parse(revision.version(), revision.text())));
		State before = this.state.getAndUpdate((present) -> (present.version() < fresh.version()) ? fresh : present);
		if (before.version() >= fresh.version()) {
			return false;
		}
		this.listeners.forEach((listener) -> listener.accept(fresh.contract().orElseThrow()));
		return true;
	}

	/**
	 * Returns the contract in force.
	 * @return the contract, or empty before the first
	 */
	public Optional<Contract> contract() {
		return this.state.get().contract();
	}

	/**
	 * Returns the revision in force.
	 * @return the revision, or empty before the first
	 */
	public Optional<Revision> revision() {
		return this.state.get().revision();
	}

	/**
	 * Returns the version in force.
	 * @return the version, or 0 before the first
	 */
	public long version() {
		return this.state.get().version();
	}

	/**
	 * Has somebody told of each contract that comes into force from now on. Two that come
	 * at the same moment may be told in either order; the listener compares versions or
	 * reads {@link #contract()}.
	 * @param listener takes each contract
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
