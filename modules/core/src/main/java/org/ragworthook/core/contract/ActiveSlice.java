package org.ragworthook.core.contract;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The part of the contract that is active in a sidecar: the highest version received from
 * any entry, and the sidecar's service as defined in that version.
 * <p>
 * Several entries send slices independently, each over its own link. A slice without a
 * section means that the section is unchanged since the previous slice <em>on the same
 * link</em>; another entry may have sent a different section in between. Each link
 * therefore has its own {@link Receiver}. With one receiver for all links, a change that
 * is made and reverted could leave the sidecar with the section of the intermediate
 * version.
 */
public final class ActiveSlice {

	private final AtomicReference<State> state = new AtomicReference<>(new State(0, "", Optional.empty()));

	private ActiveSlice() {
	}

	/**
	 * Returns the state of a sidecar that has not received any slice.
	 * @return an instance without an active slice
	 */
	public static ActiveSlice empty() {
		return new ActiveSlice();
	}

	/**
	 * Returns the active version of the contract.
	 * @return the version, or 0 before the first slice
	 */
	public long version() {
		return this.state.get().version();
	}

	/**
	 * Returns the service that this sidecar's upstream belongs to.
	 * @return the service, or empty before the first slice or if the contract no longer
	 * contains the service
	 */
	public Optional<Service> service() {
		return this.state.get().service();
	}

	/**
	 * Returns a receiver for a new link to an entry.
	 * @return the receiver for the slices of that link
	 */
	public Receiver receiver() {
		return new Receiver();
	}

	/**
	 * Applies the slices received on one link.
	 */
	public final class Receiver {

		private String section = "";

		private Receiver() {
		}

		/**
		 * Applies a slice; ignores its content if it is not newer than the active
		 * version.
		 * @param slice a slice received on this link
		 * @return whether its version was activated
		 */
		public synchronized boolean take(Slice slice) {
			Objects.requireNonNull(slice, "slice is null");
			slice.section().ifPresent((sent) -> this.section = sent);
			State previous = ActiveSlice.this.state.get();
			State candidate = previous.next(slice.version(), this.section);
			State displaced = ActiveSlice.this.state
				.getAndUpdate((current) -> (current.version() < candidate.version()) ? candidate : current);
			return displaced.version() < candidate.version();
		}

	}

	private record State(long version, String section, Optional<Service> service) {

		State next(long newVersion, String candidate) {
			return new State(newVersion, candidate, candidate.equals(this.section) ? this.service : parse(candidate));
		}

		private static Optional<Service> parse(String section) {
			return section.isEmpty() ? Optional.empty() : Optional.of(Service.parse(section));
		}

	}

}
