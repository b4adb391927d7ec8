package org.ragworthook.gateway.memory;

import java.util.Objects;

/**
 * The bytes that are held for one connection. Used on the event loop.
 */
public final class HeldBytes implements AutoCloseable {

	private final ByteBudget budget;

	private final HeldKind kind;

	private final Runnable closer;

	private String request = "-";

	private long bytes;

	/** The ticker's reading at the last progress, or when bytes were held first. */
	private long progressNanos;

	private boolean closed;

	HeldBytes(ByteBudget budget, HeldKind kind, Runnable closer) {
		this.budget = budget;
		this.kind = Objects.requireNonNull(kind, "kind is null");
		this.closer = Objects.requireNonNull(closer, "closer is null");
	}

	/**
	 * Sets the request that the bytes belong to.
	 * @param id the request id, for the log
	 */
	public void request(String id) {
		this.request = id;
	}

	/**
	 * Adds bytes. If they exceed the budget of the process, connections are closed, maybe
	 * this one.
	 * @param added the number of bytes
	 */
	public void add(long added) {
		if (this.closed || added <= 0) {
			return;
		}
		if (this.bytes == 0 || this.kind == HeldKind.UPLOAD) {
			this.progressNanos = this.budget.now();
		}
		this.bytes += added;
		this.budget.added(this.kind, added);
	}

	/**
	 * Removes bytes that were written or are no longer needed.
	 * @param removed the number of bytes
	 */
	public void remove(long removed) {
		long count = Math.min(removed, this.bytes);
		if (this.closed || count <= 0) {
			return;
		}
		this.progressNanos = this.budget.now();
		this.bytes -= count;
		this.budget.removed(this.kind, count);
	}

	/**
	 * Returns the bytes that are held.
	 * @return the number of bytes
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Returns when bytes were last written, or when the first were held after none.
	 * @return the ticker's reading
	 */
	public long progressNanos() {
		return this.progressNanos;
	}

	/**
	 * Removes all bytes and ends the registration. Later calls change nothing.
	 */
	@Override
	public void close() {
		if (!this.closed) {
			this.closed = true;
			this.budget.closed(this, this.bytes);
			this.bytes = 0;
		}
	}

	HeldKind kind() {
		return this.kind;
	}

	String request() {
		return this.request;
	}

	Runnable closer() {
		return this.closer;
	}

	/**
	 * Returns how urgently the connection is to be closed.
	 * @param nowNanos the ticker's reading
	 * @return the bytes times the nanoseconds since the last progress
	 */
	double weight(long nowNanos) {
		return (double) this.bytes * (nowNanos - this.progressNanos);
	}

}
