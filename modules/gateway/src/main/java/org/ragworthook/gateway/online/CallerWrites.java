package org.ragworthook.gateway.online;

import java.util.Objects;

import io.vertx.core.Future;
import org.ragworthook.gateway.memory.HeldBytes;

/**
 * The parts of responses that are not written to a caller's connection yet. Used on the
 * event loop.
 * <p>
 * A caller that reads slowly does not hold up its upstream until its connection holds its
 * share of the memory, so that the upstream's slot becomes free.
 */
final class CallerWrites {

	private static final Runnable NONE = () -> {
	};

	private final HeldBytes held;

	private final long share;

	/** Called when there is room again. */
	private Runnable onRoom = NONE;

	/**
	 * Creates the writes of a connection.
	 * @param held the bytes that are held for it
	 * @param share the bytes from which on no more are to be written
	 */
	CallerWrites(HeldBytes held, long share) {
		this.held = Objects.requireNonNull(held, "held is null");
		this.share = share;
	}

	/**
	 * Counts a part until it is written.
	 * @param length the number of bytes
	 * @param written completes when the part is written or the connection has failed
	 */
	void writing(int length, Future<Void> written) {
		if (written.isComplete()) {
			return;
		}
		this.held.add(length);
		written.onComplete((done) -> {
			this.held.remove(length);
			if (this.held.bytes() <= this.share / 2) {
				Runnable waiting = this.onRoom;
				this.onRoom = NONE;
				waiting.run();
			}
		});
	}

	/**
	 * Returns whether the connection holds its share.
	 * @return true also while a listener waits for room
	 */
	boolean full() {
		return this.onRoom != NONE || this.held.bytes() >= this.share;
	}

	/**
	 * Sets the listener that is called once when half of the share is free.
	 * @param listener the listener
	 */
	void onRoom(Runnable listener) {
		this.onRoom = Objects.requireNonNull(listener, "listener is null");
	}

	/**
	 * Returns the bytes that are held for the connection.
	 * @return the bytes
	 */
	HeldBytes held() {
		return this.held;
	}

}
