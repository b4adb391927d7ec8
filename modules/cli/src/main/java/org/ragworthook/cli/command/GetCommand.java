package org.ragworthook.cli.command;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Option;
import org.ragworthook.cli.output.ExitCode;

/**
 * Prints the newest text or an earlier one.
 */
public final class GetCommand implements Command {

	@Option(name = "--version", metaVar = "VERSION", usage = "an earlier version (the newest)")
	private long version;

	@Option(name = "--to", metaVar = "FILE", usage = "write it there, with the version to edit from")
	private Path file;

	@Override
	public ExitCode run(Session session) {
		String query = (this.version > 0) ? "?version=" + this.version : "";
		JsonNode answer = session.entry().fetch("/admin/v1/contract" + query).json();
		String text = answer.path("text").asText();
		if (this.file == null) {
			session.out().print(text);
			return ExitCode.OK;
		}
		EditedText marked = new EditedText(text, Optional.of(answer.path("version").asLong()));
		Session.write(this.file, marked.marked().getBytes(StandardCharsets.UTF_8));
		return ExitCode.OK;
	}

}
