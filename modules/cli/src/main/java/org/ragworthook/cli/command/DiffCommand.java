package org.ragworthook.cli.command;

import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;
import org.kohsuke.args4j.Argument;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.core.contract.ValidationResult;

/**
 * Says in words what would happen if a text were applied.
 */
public final class DiffCommand implements Command {

	@Argument(metaVar = "FILE", required = true, usage = "the text to compare with the one in force")
	private Path file;

	@Override
	public ExitCode run(Session session) {
		EditedText edited = EditedText.read(this.file);
		ValidationResult review = ProblemReport.review(edited);
		if (!review.isAcceptable()) {
			session.printer().print(ProblemReport.of(this.file.toString(), review, edited.base().isPresent() ? 1 : 0));
			return ExitCode.REFUSED;
		}
		JsonNode answer = session.entry().send(HttpMethod.POST, "/admin/v1/diff", Map.of(), edited.text()).json();
		session.printer().print(ProblemReport.changes(answer));
		return ExitCode.OK;
	}

}
