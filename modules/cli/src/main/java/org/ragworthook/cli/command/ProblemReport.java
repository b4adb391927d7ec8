package org.ragworthook.cli.command;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ragworthook.cli.output.Report;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.Problem;
import org.ragworthook.core.contract.ValidationResult;

/**
 * Checks a text before it leaves this machine and reports what is wrong with it.
 */
final class ProblemReport {

	private static final ObjectMapper JSON = new ObjectMapper();

	private ProblemReport() {
	}

	static ValidationResult review(EditedText edited) {
		return Contract.validate(edited.base().orElse(0L) + 1, edited.text());
	}

	static Report of(String file, ValidationResult review, int hiddenLines) {
		ObjectNode json = JSON.createObjectNode().put("valid", review.isAcceptable());
		ArrayNode problems = json.putArray("problems");
		Report report = Report.of(json, "PLACE", "SEVERITY", "PROBLEM", "REMEDY");
		for (Problem problem : review.problems()) {
			int line = problem.line() + hiddenLines;
			String severity = problem.severity().name().toLowerCase(Locale.ROOT);
			problems.addObject()
				.put("line", line)
				.put("column", problem.column())
				.put("severity", severity)
				.put("message", problem.message())
				.put("remedy", problem.remedy());
			report.row(file + ":" + line + ":" + problem.column(), severity, problem.message(), problem.remedy());
		}
		return report;
	}

	static Report changes(JsonNode json) {
		Report report = Report.of(json, "EFFECT", "SUBJECT", "CHANGE");
		json.path("changes")
			.forEach((change) -> report.row(change.path("effect").asText(), change.path("subject").asText(),
					change.path("words").asText()));
		json.path("warnings")
			.forEach((warning) -> report.row("warning", warning.path("line").asText(),
					warning.path("message").asText() + "; " + warning.path("remedy").asText()));
		return report;
	}

}
