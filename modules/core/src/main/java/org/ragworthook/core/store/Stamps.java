package org.ragworthook.core.store;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Gives out a stamp for each write. Stamps of one process never repeat; two processes, or
 * two runs of one, are told apart by the writer's name, which must be unique to the run.
 */
public final class Stamps {

	private final String writer;

	private final AtomicLong sequence = new AtomicLong();

	private Stamps(String writer) {
		this.writer = Objects.requireNonNull(writer, "writer is null");
	}

	/**
	 * Returns the stamps of a writer.
	 * @param writer a name unique to this run of the process
	 * @return a new sequence of stamps
	 */
	public static Stamps of(String writer) {
		return new Stamps(writer);
	}

	/**
	 * Returns a stamp that was not given out before.
	 * @return the stamp
	 */
	public String next() {
		return this.writer + "#" + this.sequence.incrementAndGet();
	}

	/**
	 * Returns the name of the writer.
	 * @return the name
	 */
	public String writer() {
		return this.writer;
	}

}
