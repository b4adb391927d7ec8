package org.ragworthook.core.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Objects;

/**
 * Logs structured events, one line of key=value pairs each, such as
 * {@code event=lease_taken shard=17 epoch=42 holder=atl-a-2}.
 */
public final class EventLog {

	private final Logger logger;

	private EventLog(Logger logger) {
		this.logger = logger;
	}

	/**
	 * Returns the log of a class.
	 * @param owner the class that logs; its name is the logger's name
	 * @return the log of the class
	 */
	public static EventLog of(Class<?> owner) {
		return new EventLog(System.getLogger(Objects.requireNonNull(owner, "owner is null").getName()));
	}

	/**
	 * Logs an event of normal operation at level INFO.
	 * @param event the event's name, a constant in lower case with underscores
	 * @param pairs alternating keys and values
	 */
	public void info(String event, Object... pairs) {
		write(Level.INFO, event, pairs);
	}

	/**
	 * Logs an event that an operator should investigate, at level WARNING.
	 * @param event the event's name
	 * @param pairs alternating keys and values
	 */
	public void warning(String event, Object... pairs) {
		write(Level.WARNING, event, pairs);
	}

	/**
	 * Logs an event for developers at level DEBUG.
	 * @param event the event's name
	 * @param pairs alternating keys and values
	 */
	public void debug(String event, Object... pairs) {
		write(Level.DEBUG, event, pairs);
	}

	private void write(Level level, String event, Object... pairs) {
		if (this.logger.isLoggable(level)) {
			this.logger.log(level, line(event, pairs));
		}
	}

	/**
	 * Formats an event. Empty values and values with whitespace, control characters,
	 * double quotes or equals signs are quoted, with line breaks escaped, so that an
	 * event always takes one line and can be parsed unambiguously.
	 * @param event the event's name
	 * @param pairs alternating keys and values
	 * @return the line, without a line break
	 * @throws IllegalArgumentException if a key has no value
	 */
	static String line(String event, Object... pairs) {
		if (pairs.length % 2 != 0) {
			throw new IllegalArgumentException("event " + event + " has a key without a value");
		}
		StringBuilder line = new StringBuilder("event=").append(event);
		for (int i = 0; i < pairs.length; i += 2) {
			line.append(' ').append(pairs[i]).append('=').append(quoteIfNeeded(String.valueOf(pairs[i + 1])));
		}
		return line.toString();
	}

	private static String quoteIfNeeded(String value) {
		if (!value.isEmpty() && value.chars().noneMatch((c) -> c <= ' ' || c == '"' || c == '=')) {
			return value;
		}
		String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\r", "\\r");
		return '"' + escaped + '"';
	}

}
