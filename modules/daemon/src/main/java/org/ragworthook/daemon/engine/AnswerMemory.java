package org.ragworthook.daemon.engine;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that the answers of one engine take up. An answer may have no end,
 * and what is not passed on at once is held until it is complete.
 */
final class AnswerMemory {

	/** The most bytes of one answer, which has to fit into one frame of a link. */
	static final int MAX_ANSWER_BYTES = 31 << 20;

	/** The share of the heap that all answers may take up together. */
	private static final int HEAP_SHARE = 4;

	private final long maxBytes;

	private final AtomicLong bytes = new AtomicLong();

	private AnswerMemory(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Returns memory of a fixed size.
	 * @param maxBytes the most bytes of all answers
	 * @return the memory
	 */
	static AnswerMemory of(long maxBytes) {
		return new AnswerMemory(maxBytes);
	}

	/**
	 * Returns memory whose size is a share of the heap.
	 * @return the memory
	 */
	static AnswerMemory ofHeap() {
		return of(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
	}

	/**
	 * Registers an answer.
	 * @return what the answer holds, nothing so far
	 */
	Held open() {
		return new Held();
	}

	/**
	 * Returns how much all answers hold.
	 * @return the number of bytes
	 */
	long bytes() {
		return this.bytes.get();
	}

	/**
	 * What one answer holds. Confined to the context of its call.
	 */
	final class Held implements AutoCloseable {

		private long held;

		private boolean closed;

		private Held() {
		}

		/**
		 * Adds to what the answer holds.
		 * @param count the number of bytes
		 * @return false if the answer takes up more than it may
		 */
		boolean add(int count) {
			if (this.closed) {
				return false;
			}
			this.held += count;
			return AnswerMemory.this.bytes.addAndGet(count) <= AnswerMemory.this.maxBytes
					&& this.held <= MAX_ANSWER_BYTES;
		}

		@Override
		public void close() {
			if (!this.closed) {
				this.closed = true;
				AnswerMemory.this.bytes.addAndGet(-this.held);
			}
		}

	}

}
