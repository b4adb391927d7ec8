package org.ragworthook.core.store;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates a unique identifier (stamp) for each write. A stamp consists of the writer's
 * name and a sequence number, so the name must be unique to each run of each process.
 */
public final class Stamps {

	private final String writer;

	private final AtomicLong sequence = new AtomicLong();

	private Stamps(String writer) {
		this.writer = Objects.requireNonNull(writer, "writer is null");
	}

	/**
	 * Returns a generator of stamps for a writer.
	 * @param writer a name unique to this run of the process
	 * @return a new generator, starting at sequence number 1
	 */
	public static Stamps of(String writer) {
		return new Stamps(writer);
	}

	/**
	 * Generates the next stamp.
	 * @return a stamp that this generator has not returned before
	 */
	public String next() {
		return this.writer + "#" + this.sequence.incrementAndGet();
	}

	/**
	 * Returns the name of the writer.
	 * @return the name that all stamps begin with
	 */
	public String writer() {
		return this.writer;
	}

}
