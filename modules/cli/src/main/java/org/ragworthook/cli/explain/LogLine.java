package org.ragworthook.cli.explain;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a log, such as
 * {@code edge-1 at=1777411996057 level=INFO event=placed request=9c41 upstream=i-7 load=4}.
 * What stands before {@code at=} is the collector's; its last word names the process.
 *
 * @param process the process, or an empty text if the line does not name it
 * @param atMillis when, Unix milliseconds
 * @param event the name of the event
 * @param pairs what it says
 */
record LogLine(String process, long atMillis, String event, Map<String, String> pairs) {

	private static final Pattern LINE = Pattern.compile("^(.*?)\\s*\\bat=(\\d+) level=\\w+ event=(\\w+)(.*)$");

	private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)");

	LogLine {
		Objects.requireNonNull(process, "process is null");
		Objects.requireNonNull(event, "event is null");
		pairs = Map.copyOf(pairs);
	}

	/**
	 * Reads a line.
	 * @param text the line
	 * @return what it says, or empty if it is not a line of ours; one that was cut off
	 * says what is left of it
	 */
	static Optional<LogLine> parse(String text) {
		Matcher line = LINE.matcher(text);
		if (!line.matches()) {
			return Optional.empty();
		}
		String[] before = line.group(1).trim().split("\\s+");
		Map<String, String> pairs = new HashMap<>();
		Matcher pair = PAIR.matcher(line.group(4));
		while (pair.find()) {
			pairs.put(pair.group(1), pair.group(2));
		}
		return Optional.of(new LogLine(before[before.length - 1], Long.parseLong(line.group(2)), line.group(3), pairs));
	}

	/**
	 * Returns what the event says of something.
	 * @param key the key
	 * @return the value, or an empty text if it does not say
	 */
	String value(String key) {
		return this.pairs.getOrDefault(key, "");
	}

	/**
	 * Returns a number that the event gives.
	 * @param key the key
	 * @return the number, or empty if it gives none or the line is cut off within it
	 */
	Optional<Long> number(String key) {
		try {
			return Optional.of(Long.parseLong(value(key)));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

}
