package org.ragworthook.cli.command;

import java.nio.file.Path;

import org.kohsuke.args4j.Argument;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.core.contract.ValidationResult;

/**
 * Checks a text without an entry.
 */
public final class ValidateCommand implements Command {

	@Argument(metaVar = "FILE", required = true, usage = "the text to check")
	private Path file;

	@Override
	public ExitCode run(Session session) {
		EditedText edited = EditedText.read(this.file);
		ValidationResult review = ProblemReport.review(edited);
		session.printer().print(ProblemReport.of(this.file.toString(), review, edited.base().isPresent() ? 1 : 0));
		return review.isAcceptable() ? ExitCode.OK : ExitCode.REFUSED;
	}

}
