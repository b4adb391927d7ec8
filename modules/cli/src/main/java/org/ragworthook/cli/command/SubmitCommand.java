package org.ragworthook.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.ragworthook.cli.entry.CliException;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.cli.output.Report;
import org.ragworthook.core.contract.KeyHash;

/**
 * Submits a batch job.
 */
public final class SubmitCommand implements Command {

	private static final ObjectMapper JSON = new ObjectMapper();

	@Argument(metaVar = "FILE", required = true, usage = "the items, one JSON request a line")
	private Path file;

	@Option(name = "--endpoint", metaVar = "PATH", usage = "what answers each item (/v1/chat/completions)")
	private String endpoint = "/v1/chat/completions";

	@Option(name = "--window", metaVar = "TIME", usage = "by when it is due (24h)")
	private String window = "24h";

	@Option(name = "--idempotency-key", metaVar = "KEY",
			usage = "the same key finds the same job again (a hash of the file)")
	private String idempotencyKey = "";

	@Option(name = "--wait", usage = "wait until the job has ended")
	private boolean wait;

	@Override
	public ExitCode run(Session session) {
		Buffer content = content();
		JsonNode uploaded = session.entry()
			.upload("/v1/files", "batch", this.file.getFileName().toString(), content)
			.json();
		String body = JSON.createObjectNode()
			.put("input_file_id", uploaded.path("id").asText())
			.put("endpoint", this.endpoint)
			.put("completion_window", this.window)
			.toString();
		JsonNode job = session.entry()
			.send(HttpMethod.POST, "/v1/batches", Map.of("Idempotency-Key", key(content)), body)
			.json();
		String id = job.path("id").asText();
		if (this.wait) {
			return JobWatch.until(session, id);
		}
		session.printer().print(Report.of(job, "JOB", "STATUS").row(id, job.path("status").asText()));
		return ExitCode.OK;
	}

	// Submitted again after a lost answer, the same file must find the first job instead
	// of running every item twice.
	private String key(Buffer content) {
		return this.idempotencyKey.isEmpty() ? KeyHash.of(this.endpoint + "\n" + content).text() : this.idempotencyKey;
	}

	private Buffer content() {
		try {
			return Buffer.buffer(Files.readAllBytes(this.file));
		}
		catch (IOException ex) {
			throw new CliException(ExitCode.USAGE,
					this.file + " cannot be read; check that it exists and that this user may read it");
		}
	}

}
