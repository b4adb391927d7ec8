package org.ragworthook.standin.load;

import java.util.List;
import java.util.Objects;

/**
 * How a call ended, as its caller saw it.
 *
 * @param tag which call it was
 * @param end how it ended
 * @param status the HTTP status of the last attempt, or 0 if there was none
 * @param detail the error code or what was wrong
 * @param resends how often the caller sent it again
 * @param cutOffs how often its connection broke after it was sent
 * @param startNanos when it was first sent
 * @param tokenNanos when each piece of text came in the last attempt
 * @param endNanos when it ended
 */
public record CallRecord(String tag, End end, int status, String detail, int resends, int cutOffs, long startNanos,
		List<Long> tokenNanos, long endNanos) {

	/**
	 * Copies the times.
	 */
	public CallRecord {
		Objects.requireNonNull(tag, "tag is null");
		Objects.requireNonNull(end, "end is null");
		Objects.requireNonNull(detail, "detail is null");
		tokenNanos = List.copyOf(tokenNanos);
	}

	/**
	 * Tells whether the caller was told that the call was not run.
	 * @return whether the error code says so
	 */
	public boolean toldNotRun() {
		return this.end == End.REFUSED && this.detail.contains("NOT_RUN");
	}

	/**
	 * How a call can end.
	 */
	public enum End {

		/** The answer came and is what it must be. */
		WHOLE,

		/** An answer came and is not what it must be. */
		WRONG,

		/** The call was refused with an error. */
		REFUSED,

		/** The connection broke, also when sent again. */
		BROKEN

	}

}
