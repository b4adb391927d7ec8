package org.ragworthook.gateway.upstream;

import java.util.Objects;
import java.util.Optional;

/**
 * The version of the software that an upstream runs. Versions have no order. What two
 * versions write does not fit together, so a stream continues only at an upstream of the
 * version that began it.
 *
 * @param label the version's name, or empty if it is not known
 */
public record SoftwareVersion(Optional<String> label) {

	private static final SoftwareVersion UNKNOWN = new SoftwareVersion(Optional.empty());

	/**
	 * Checks the component.
	 */
	public SoftwareVersion {
		Objects.requireNonNull(label, "label is null");
	}

	/**
	 * Returns a version.
	 * @param label its name; an empty one stands for a version that is not known
	 * @return the version
	 */
	public static SoftwareVersion of(String label) {
		Objects.requireNonNull(label, "label is null");
		return label.isEmpty() ? UNKNOWN : new SoftwareVersion(Optional.of(label));
	}

	/**
	 * Returns the version of an upstream that states none.
	 * @return a version that continues no stream
	 */
	public static SoftwareVersion unknown() {
		return UNKNOWN;
	}

	/**
	 * Returns whether the version is known.
	 * @return false for {@link #unknown()}
	 */
	public boolean known() {
		return this.label.isPresent();
	}

	/**
	 * Returns whether an upstream of another version can continue what this version has
	 * written.
	 * @param other the version of the other upstream
	 * @return whether both are known and equal
	 */
	public boolean continuedBy(SoftwareVersion other) {
		return known() && equals(other);
	}

	@Override
	public String toString() {
		return this.label.orElse("unknown");
	}

}
