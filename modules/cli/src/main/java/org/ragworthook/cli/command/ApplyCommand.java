package org.ragworthook.cli.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.ragworthook.cli.entry.CliException;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.cli.output.Progress;
import org.ragworthook.core.contract.ValidationResult;

/**
 * Submits a text and waits until every live process acts by it.
 */
public final class ApplyCommand implements Command {

	private static final Duration POLL = Duration.ofMillis(50);

	private static final long UNSET = -1;

	@Argument(metaVar = "FILE", usage = "the text to submit")
	private Path file;

	@Option(name = "--reason", metaVar = "TEXT", required = true, usage = "why, for the history")
	private String reason = "";

	@Option(name = "--base", metaVar = "VERSION",
			usage = "version that was edited; else the one that 'get --to' wrote into the file, else 0")
	private long base = UNSET;

	@Option(name = "--roll-back", metaVar = "VERSION", usage = "submit the text of an earlier version anew")
	private long rollBack = UNSET;

	@Option(name = "--strand", usage = "apply even if accepted jobs lose what they need")
	private boolean strand;

	@Option(name = "--no-wait", usage = "do not wait until every process acts by it")
	private boolean noWait;

	@Option(name = "--timeout", metaVar = "SECONDS", usage = "how long to wait (60)")
	private int timeout = 60;

	@Override
	public ExitCode run(Session session) {
		EditedText edited = edited(session);
		ValidationResult review = ProblemReport.review(edited);
		if (!review.isAcceptable()) {
			session.printer()
				.print(ProblemReport.of(String.valueOf(this.file), review, edited.base().isPresent() ? 1 : 0));
			return ExitCode.REFUSED;
		}
		long edits = (this.base != UNSET) ? this.base : edited.base().orElse(0L);
		JsonNode answer = session.entry()
			.send(HttpMethod.PUT, path(), Map.of("If-Match", "\"" + edits + "\""), edited.text())
			.json();
		session.printer().print(ProblemReport.changes(answer));
		return this.noWait ? ExitCode.OK : await(session, answer.path("version").asLong());
	}

	private EditedText edited(Session session) {
		if ((this.file == null) == (this.rollBack == UNSET)) {
			throw new CliException(ExitCode.USAGE, "give either FILE or --roll-back VERSION");
		}
		if (this.rollBack == UNSET) {
			return EditedText.read(this.file);
		}
		JsonNode earlier = session.entry().fetch("/admin/v1/contract?version=" + this.rollBack).json();
		JsonNode newest = session.entry().fetch("/admin/v1/contract").json();
		return new EditedText(earlier.path("text").asText(), Optional.of(newest.path("version").asLong()));
	}

	private String path() {
		return "/admin/v1/contract?reason=" + Session.encode(this.reason) + "&strand=" + this.strand;
	}

	private ExitCode await(Session session, long version) {
		long start = System.nanoTime();
		long end = start + Duration.ofSeconds(this.timeout).toNanos();
		try (Progress progress = session.progress()) {
			while (System.nanoTime() < end) {
				JsonNode processes = session.entry().fetch("/admin/v1/status").json().path("processes");
				int there = 0;
				for (JsonNode process : processes) {
					there += (process.path("version").asLong() >= version) ? 1 : 0;
				}
				progress.show(there, processes.size(), "processes act by version " + version);
				if (there == processes.size()) {
					progress.close();
					session.errors()
						.println("in force everywhere " + Duration.ofNanos(System.nanoTime() - start).toMillis()
								+ " ms after the acceptance");
					return ExitCode.OK;
				}
				Session.pause(POLL);
			}
		}
		session.errors()
			.println("accepted, but not yet in force everywhere; 'ragworthook status' shows which processes lag");
		return ExitCode.TIMEOUT;
	}

}
