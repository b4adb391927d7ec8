package org.ragworthook.cli.entry;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.vertx.core.buffer.Buffer;
import org.ragworthook.cli.output.ExitCode;

/**
 * An entry's answer.
 *
 * @param status the HTTP status
 * @param body the body
 */
public record Answer(int status, Buffer body) {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int FIRST_ERROR = 400;

	private static final int CONFLICT = 409;

	private static final int FIRST_SERVER_ERROR = 500;

	/**
	 * Returns the body as JSON.
	 * @return the JSON
	 * @throws CliException if the body is not JSON
	 */
	public JsonNode json() {
		try {
			return JSON.readTree(this.body.getBytes());
		}
		catch (IOException ex) {
			throw new CliException(ExitCode.UNAVAILABLE, "the answer is not JSON; check that --entry names an entry");
		}
	}

	/**
	 * Returns the body as text.
	 * @return the text
	 */
	public String text() {
		return this.body.toString();
	}

	/**
	 * Turns an answer that reports an error into an exception.
	 * @return this answer, if it reports none
	 * @throws CliException with the entry's own words
	 */
	Answer orRefused() {
		if (this.status < FIRST_ERROR) {
			return this;
		}
		throw new CliException(exitCode(), message());
	}

	private ExitCode exitCode() {
		if (this.status == CONFLICT) {
			return ExitCode.CONFLICT;
		}
		return (this.status < FIRST_SERVER_ERROR) ? ExitCode.REFUSED : ExitCode.UNAVAILABLE;
	}

	private String message() {
		JsonNode error = error();
		if (error.isTextual()) {
			return error.asText();
		}
		String words = error.path("message").asText("");
		return words.isEmpty() ? "the entry answered HTTP " + this.status + " " + text() : words;
	}

	private JsonNode error() {
		try {
			return JSON.readTree(this.body.getBytes()).path("error");
		}
		catch (IOException ex) {
			return MissingNode.getInstance();
		}
	}

}
