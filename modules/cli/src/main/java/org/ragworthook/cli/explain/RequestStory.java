package org.ragworthook.cli.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The decisions that touched one request, in the order of the log.
 */
final class RequestStory {

	/** How long after its start a process counts as just started. */
	private static final long START_MILLIS = 3_000;

	private final List<LogLine> lines = new ArrayList<>();

	/** When the entry that ended the request had started, or 0 while not known. */
	private long entryStartedMillis;

	void add(LogLine line) {
		this.lines.add(line);
	}

	void entryStarted(long atMillis) {
		this.entryStartedMillis = atMillis;
	}

	/**
	 * Returns all decisions.
	 * @return the lines
	 */
	List<LogLine> lines() {
		return this.lines;
	}

	/**
	 * Returns how the request ended.
	 * @return the line, or empty if the log ends before or was cut off
	 */
	Optional<LogLine> end() {
		return first("request_ended");
	}

	/**
	 * Tells whether the request was answered in time.
	 * @param goalMillis how soon its answer had to begin
	 * @return whether it was; false also if its end is not in the log
	 */
	boolean inTime(long goalMillis) {
		return end().filter((line) -> line.value("outcome").equals("answered"))
			.flatMap((line) -> line.number("first_ms"))
			.filter((millis) -> millis <= goalMillis)
			.isPresent();
	}

	/**
	 * Returns why it was not answered in time.
	 * @param goalMillis how soon its answer had to begin
	 * @return the first cause in the request's life
	 */
	Cause cause(long goalMillis) {
		Optional<LogLine> placed = first("placed");
		long waited = placed.flatMap((line) -> line.number("after_ms")).orElse(0L);
		if (end().filter((line) -> line.atMillis() - this.entryStartedMillis < START_MILLIS).isPresent()) {
			return Cause.JUST_STARTED;
		}
		if (placed.isEmpty() && first("request_shed").or(() -> first("slot_refused")).isPresent()) {
			return Cause.OVER_SHARE;
		}
		if (placed.isEmpty()) {
			return first("waiting").or(() -> first("slot_asked")).isPresent() ? Cause.WAITED : Cause.NOT_SENT;
		}
		if (2 * waited > goalMillis) {
			return Cause.WAITED;
		}
		return this.lines.stream()
			.flatMap((line) -> failure(line).stream())
			.findFirst()
			.orElse(full(placed.get()) ? Cause.KNOWN_FULL : Cause.BELIEVED_FREE);
	}

	private static Optional<Cause> failure(LogLine line) {
		return switch (line.event()) {
			case "attempt_failed" -> Optional.of(Cause.ATTEMPT_FAILED);
			case "not_run" -> Optional.of(Cause.NOT_RUN);
			case "moves" -> Optional.of(Cause.MOVED);
			default -> Optional.empty();
		};
	}

	private static boolean full(LogLine placed) {
		Optional<Long> slots = placed.number("slots");
		return slots.isPresent() && placed.number("load").orElse(0L) >= slots.get();
	}

	/**
	 * Returns the last decision of a kind.
	 * @param event the name of the event
	 * @return the line, or empty if there is none
	 */
	Optional<LogLine> last(String event) {
		return this.lines.stream().filter((line) -> line.event().equals(event)).reduce((one, next) -> next);
	}

	private Optional<LogLine> first(String event) {
		return this.lines.stream().filter((line) -> line.event().equals(event)).findFirst();
	}

}
