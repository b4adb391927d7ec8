package org.ragworthook.core.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Objects;

/**
 * Writes one line for each event, such as
 * {@code event=lease_taken shard=17 epoch=42 holder=atl-a-2}.
 */
public final class EventLog {

	private final Logger logger;

	private EventLog(Logger logger) {
		this.logger = logger;
	}

	/**
	 * Returns the log of a class.
	 * @param owner the class that logs
	 * @return its log
	 */
	public static EventLog of(Class<?> owner) {
		return new EventLog(System.getLogger(Objects.requireNonNull(owner, "owner is null").getName()));
	}

	/**
	 * Logs an event that an operator would look for.
	 * @param event the event's name, a constant in lower case with underscores
	 * @param pairs keys and values by turns
	 */
	public void info(String event, Object... pairs) {
		write(Level.INFO, event, pairs);
	}

	/**
	 * Logs an event that an operator should look into.
	 * @param event the event's name
	 * @param pairs keys and values by turns
	 */
	public void warning(String event, Object... pairs) {
		write(Level.WARNING, event, pairs);
	}

	/**
	 * Logs an event for developers.
	 * @param event the event's name
	 * @param pairs keys and values by turns
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
	 * Formats an event. Values with spaces, quotes or line ends are quoted, so that an
	 * event always takes one line and can be split at its spaces.
	 * @param event the event's name
	 * @param pairs keys and values by turns
	 * @return the line
	 * @throws IllegalArgumentException if a key has no value
	 */
	static String line(String event, Object... pairs) {
		if (pairs.length % 2 != 0) {
			throw new IllegalArgumentException("pairs of " + event + " has a key without a value");
		}
		StringBuilder line = new StringBuilder("event=").append(event);
		for (int i = 0; i < pairs.length; i += 2) {
			line.append(' ').append(pairs[i]).append('=').append(quoted(String.valueOf(pairs[i + 1])));
		}
		return line.toString();
	}

	private static String quoted(String value) {
		if (!value.isEmpty() && value.chars().noneMatch((c) -> c <= ' ' || c == '"' || c == '=')) {
			return value;
		}
		String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\r", "\\r");
		return '"' + escaped + '"';
	}

}
