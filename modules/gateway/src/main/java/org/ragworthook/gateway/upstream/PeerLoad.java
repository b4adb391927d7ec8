package org.ragworthook.gateway.upstream;

/**
 * What the peers have at an upstream.
 *
 * @param online requests that callers wait for
 * @param batch items of batch jobs
 * @param yieldingFirst the part of {@code batch} that yields before any item of this
 * process
 */
public record PeerLoad(int online, int batch, int yieldingFirst) {

	/** Nothing. */
	public static final PeerLoad NONE = new PeerLoad(0, 0, 0);

	/**
	 * Adds what another peer has.
	 * @param other the other's
	 * @return the sum
	 */
	public PeerLoad plus(PeerLoad other) {
		return new PeerLoad(this.online + other.online, this.batch + other.batch,
				this.yieldingFirst + other.yieldingFirst);
	}

	/**
	 * Takes away what another peer had.
	 * @param other the other's
	 * @return the difference
	 */
	public PeerLoad minus(PeerLoad other) {
		return new PeerLoad(this.online - other.online, this.batch - other.batch,
				this.yieldingFirst - other.yieldingFirst);
	}

}
