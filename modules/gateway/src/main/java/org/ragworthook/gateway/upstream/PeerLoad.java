package org.ragworthook.gateway.upstream;

/**
 * The load of the peers at an upstream.
 *
 * @param online number of online requests
 * @param batch number of batch items
 * @param yieldingFirst how many of the batch items are preempted before any item of this
 * process
 */
public record PeerLoad(int online, int batch, int yieldingFirst) {

	/** No load. */
	public static final PeerLoad NONE = new PeerLoad(0, 0, 0);

	/**
	 * Returns the sum of two loads.
	 * @param other the load to add
	 * @return the sum
	 */
	public PeerLoad plus(PeerLoad other) {
		return new PeerLoad(this.online + other.online, this.batch + other.batch,
				this.yieldingFirst + other.yieldingFirst);
	}

	/**
	 * Returns the difference of two loads.
	 * @param other the load to subtract
	 * @return the difference
	 */
	public PeerLoad minus(PeerLoad other) {
		return new PeerLoad(this.online - other.online, this.batch - other.batch,
				this.yieldingFirst - other.yieldingFirst);
	}

}
