package org.ragworthook.cli.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Gathers the stories of requests from logs. Lines may come from several files and
 * processes, and may be cut off.
 */
final class LogReader {

	private final Map<String, RequestStory> stories = new LinkedHashMap<>();

	private final Map<String, Long> startedMillis = new HashMap<>();

	private long lines;

	/**
	 * Reads a log.
	 * @param file the file
	 * @throws IOException if it cannot be read
	 */
	void read(Path file) throws IOException {
		var decoder = StandardCharsets.UTF_8.newDecoder()
			.onMalformedInput(CodingErrorAction.REPLACE)
			.onUnmappableCharacter(CodingErrorAction.REPLACE);
		try (BufferedReader reader = new BufferedReader(new InputStreamReader(Files.newInputStream(file), decoder))) {
			reader.lines().forEach(this::read);
		}
	}

	/**
	 * Reads one line.
	 * @param text the line
	 */
	void read(String text) {
		LogLine.parse(Objects.requireNonNull(text, "text is null")).ifPresent(this::take);
	}

	private void take(LogLine line) {
		this.lines++;
		if (line.event().equals("started")) {
			this.startedMillis.put(line.process(), line.atMillis());
		}
		String request = line.value("request");
		if (!request.isEmpty()) {
			RequestStory story = this.stories.computeIfAbsent(request, (id) -> new RequestStory());
			story.add(line);
			if (line.event().equals("request_ended")) {
				story.entryStarted(this.startedMillis.getOrDefault(line.process(), 0L));
			}
		}
	}

	/**
	 * Returns the requests in the order in which they appear.
	 * @return stories by the request's id
	 */
	Map<String, RequestStory> stories() {
		return this.stories;
	}

	/**
	 * Returns how many lines were ours.
	 * @return the count
	 */
	long lines() {
		return this.lines;
	}

}
