package org.ragworthook.core.contract;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * What a sidecar knows of the contract: the highest version that any entry has told it
 * of, and its service as that version has it.
 * <p>
 * Several entries send slices over links of their own and at their own pace. A slice
 * without a section means that the section is the one sent before <em>on the same
 * link</em>; another entry may have sent a different one in between. Each link therefore
 * has its own {@link Receiver}, or a change made and taken back would leave the sidecar
 * with the section of the middle version.
 */
public final class ActiveSlice {

	private final AtomicReference<State> state = new AtomicReference<>(new State(0, "", Optional.empty()));

	private ActiveSlice() {
	}

	/**
	 * Returns a sidecar's state before any slice.
	 * @return nothing in force
	 */
	public static ActiveSlice empty() {
		return new ActiveSlice();
	}

	/**
	 * Returns the version in force.
	 * @return the version, or 0 before the first
	 */
	public long version() {
		return this.state.get().version();
	}

	/**
	 * Returns the service of this sidecar's upstream.
	 * @return the service, or empty before the first slice and if the text no longer has
	 * the service
	 */
	public Optional<Service> service() {
		return this.state.get().service();
	}

	/**
	 * Takes up a new link to an entry.
	 * @return the receiver of the link's slices
	 */
	public Receiver receiver() {
		return new Receiver();
	}

	/**
	 * Takes the slices of one link.
	 */
	public final class Receiver {

		private String section = "";

		private Receiver() {
		}

		/**
		 * Takes a slice.
		 * @param slice a slice that came on this link
		 * @return whether its version has come into force here
		 */
		public synchronized boolean take(Slice slice) {
			Objects.requireNonNull(slice, "slice is null");
			slice.section().ifPresent((sent) -> this.section = sent);
			State before = ActiveSlice.this.state.get();
			State fresh = before.next(slice.version(), this.section);
			State replaced = ActiveSlice.this.state
				.getAndUpdate((present) -> (present.version() < fresh.version()) ? fresh : present);
			return replaced.version() < fresh.version();
		}

	}

	private record State(long version, String section, Optional<Service> service) {

		State next(long newer, String fresh) {
			return new State(newer, fresh, fresh.equals(this.section) ? this.service : parse(fresh));
		}

		private static Optional<Service> parse(String section) {
			return section.isEmpty() ? Optional.empty() : Optional.of(Service.parse(section));
		}

	}

}
